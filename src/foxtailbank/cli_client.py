"""HTTP client of the command line."""

import contextlib
import typing as t
import urllib.parse

import httpx
import msgspec

from foxtailbank.cli_connection import (
    ADMIN_KEY_VARIABLE,
    KEY_VARIABLE,
    Connection,
)
from foxtailbank.cli_failure import CommandFailed, failure_of_answer
from foxtailbank.exit_code import ExitCode

T = t.TypeVar("T")
_SUCCESS = range(200, 300)


class Client:
    """Calls one entry VM.

    Parameters
    ----------
    connection : Connection
        Address and keys.
    transport : httpx.BaseTransport, optional
        Stands in for the network in tests.
    """

    def __init__(
        self, *, connection: Connection, transport: httpx.BaseTransport | None = None
    ) -> None:
        self._connection = connection
        self._http = httpx.Client(
            base_url=f"http://{connection.address}",
            timeout=connection.request_timeout_s,
            transport=transport,
            trust_env=False,
        )

    def close(self) -> None:
        """Close the connections."""
        self._http.close()

    def admin(self, method: str, path: str, *, reply: type[T], body: t.Any = None) -> T:
        """Call the administration API.

        Parameters
        ----------
        method : str
            HTTP method.
        path : str
            Path and query.
        reply : type
            What the answer is decoded as.
        body : object, optional
            Sent as JSON.

        Returns
        -------
        object
            The decoded answer.

        Raises
        ------
        CommandFailed
            The call was refused or gave no answer.
        """
        key = self._connection.admin_key
        _require(key, "operators' key", "--admin-key", ADMIN_KEY_VARIABLE)
        content = msgspec.json.encode(body) if body is not None else None
        data = self._call(method, path, key=key, content=content)
        return _decode(data, reply, what=f"{method} {path}")

    def caller(
        self,
        method: str,
        path: str,
        *,
        reply: type[T],
        content: bytes | t.Iterator[bytes] | None = None,
        headers: dict[str, str] | None = None,
    ) -> T:
        """Call the callers' API.

        Parameters
        ----------
        method : str
            HTTP method.
        path : str
            Path and query.
        reply : type
            What the answer is decoded as.
        content : bytes or iterator of bytes, optional
            Body.
        headers : dict, optional
            Further headers.

        Returns
        -------
        object
            The decoded answer.

        Raises
        ------
        CommandFailed
            The call was refused or gave no answer.
        """
        key = self._caller_key()
        data = self._call(method, path, key=key, content=content, headers=headers)
        return _decode(data, reply, what=f"{method} {path}")

    @contextlib.contextmanager
    def stream(self, path: str) -> t.Iterator[t.Iterator[bytes]]:
        """Read a long answer of the callers' API piece by piece.

        Parameters
        ----------
        path : str
            Path and query.

        Raises
        ------
        CommandFailed
            The call was refused, or broke off before its end.
        """
        what = f"GET {path}"
        headers = _authorization(self._caller_key())
        with (
            self._failures(what),
            self._http.stream("GET", path, headers=headers) as answer,
        ):
            if answer.status_code not in _SUCCESS:
                raise failure_of_answer(answer.status_code, answer.read(), what=what)
            yield answer.iter_bytes()

    def _caller_key(self) -> str:
        key = self._connection.key
        _require(key, "caller's key", "--key", KEY_VARIABLE)
        return key

    def _call(
        self,
        method: str,
        path: str,
        *,
        key: str,
        content: bytes | t.Iterator[bytes] | None,
        headers: dict[str, str] | None = None,
    ) -> bytes:
        what = f"{method} {path}"
        all_headers = _authorization(key) | (headers or {})
        with self._failures(what):
            answer = self._http.request(
                method, path, content=content, headers=all_headers
            )
        if answer.status_code not in _SUCCESS:
            raise failure_of_answer(answer.status_code, answer.content, what=what)
        return answer.content

    @contextlib.contextmanager
    def _failures(self, what: str) -> t.Iterator[None]:
        try:
            yield
        except httpx.ConnectError as error:
            raise self._unavailable(what, f"no connection ({error})") from None
        except httpx.TimeoutException:
            raise self._unavailable(what, "no answer in time") from None
        except httpx.HTTPError as error:
            cause = str(error) or type(error).__name__
            raise self._unavailable(what, f"connection broke: {cause}") from None

    def _unavailable(self, what: str, cause: str) -> CommandFailed:
        detail = f"{what} at {self._connection.address}: {cause}"
        return CommandFailed(exit_code=ExitCode.UNAVAILABLE, detail=detail)


def quoted(name: str) -> str:
    """Return a name as one part of a path."""
    return urllib.parse.quote(name, safe="")


def query(**parameters: str | int | None) -> str:
    """Return a query string, without parameters that are None."""
    given = {name: value for name, value in parameters.items() if value is not None}
    return "?" + urllib.parse.urlencode(given) if given else ""


def _authorization(key: str) -> dict[str, str]:
    return {"authorization": f"Bearer {key}"}


def _require(key: str, what: str, flag: str, variable: str) -> None:
    if key:
        return
    raise CommandFailed(
        exit_code=ExitCode.REFUSED,
        detail=f"no {what} was given",
        next_step=f"give {flag}, set {variable}, or put it into a profile",
    )


def _decode(data: bytes, reply: type[T], *, what: str) -> T:
    try:
        return msgspec.json.decode(data, type=reply)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise CommandFailed(
            exit_code=ExitCode.INTERNAL,
            detail=f"{what}: answer not understood: {error}",
            next_step="check that the address is that of an entry VM of this version",
        ) from None
