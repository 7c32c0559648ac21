"""HTTP client of the command line."""

import contextlib
import typing as t

import httpx
import msgspec

from foxtailbank.cli_connection import (
    ADMIN_KEY_VARIABLE,
    KEY_VARIABLE,
    Connection,
)
from foxtailbank.cli_failure import CommandFailed, failure_from_response
from foxtailbank.exit_code import ExitCode

T = t.TypeVar("T")
_SUCCESS_STATUSES = range(200, 300)


class Client:
    """Client of one entry VM.

    Parameters
    ----------
    connection : Connection
        Address, keys and timeout.
    transport : httpx.BaseTransport, optional
        Replaces the network in tests.
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

    def call_admin_api(
        self, method: str, path: str, *, reply: type[T], body: t.Any = None
    ) -> T:
        """Call the administration API.

        Parameters
        ----------
        method : str
            HTTP method.
        path : str
            Path and query.
        reply : type
            Type that the response body is decoded to.
        body : object, optional
            Request body, sent as JSON.

        Returns
        -------
        object
            The decoded response body.

        Raises
        ------
        CommandFailed
            The call was rejected or no response arrived.
        """
        key = self._connection.admin_key
        _require_key(key, "operators' key", "--admin-key", ADMIN_KEY_VARIABLE)
        content = msgspec.json.encode(body) if body is not None else None
        data = self._request(method, path, key=key, content=content)
        return _decode(data, reply, operation=f"{method} {path}")

    def call_operators_port(self, path: str, *, reply: type[T]) -> T:
        """Ask at an address that only operators and collectors reach, without a key.

        Parameters
        ----------
        path : str
            Path and query.
        reply : type
            Type that the response body is decoded to.

        Returns
        -------
        object
            The decoded response body.

        Raises
        ------
        CommandFailed
            The call was rejected or no response arrived.
        """
        data = self._request("GET", path, key="", content=None)
        return _decode(data, reply, operation=f"GET {path}")

    def call_api(
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
            Type that the response body is decoded to.
        content : bytes or iterator of bytes, optional
            Request body.
        headers : dict, optional
            Additional headers.

        Returns
        -------
        object
            The decoded response body.

        Raises
        ------
        CommandFailed
            The call was rejected or no response arrived.
        """
        key = self._require_caller_key()
        data = self._request(method, path, key=key, content=content, headers=headers)
        return _decode(data, reply, operation=f"{method} {path}")

    @contextlib.contextmanager
    def stream(self, path: str) -> t.Iterator[t.Iterator[bytes]]:
        """Stream a response of the callers' API.

        Parameters
        ----------
        path : str
            Path and query.

        Yields
        ------
        iterator of bytes
            Chunks of the response body.

        Raises
        ------
        CommandFailed
            The call was rejected, or the connection failed before the end.
        """
        operation = f"GET {path}"
        headers = _authorization_header(self._require_caller_key())
        with (
            self._translate_errors(operation),
            self._http.stream("GET", path, headers=headers) as response,
        ):
            if response.status_code not in _SUCCESS_STATUSES:
                raise failure_from_response(
                    response.status_code, response.read(), operation=operation
                )
            yield response.iter_bytes()

    def _require_caller_key(self) -> str:
        key = self._connection.key
        _require_key(key, "caller's key", "--key", KEY_VARIABLE)
        return key

    def _request(
        self,
        method: str,
        path: str,
        *,
        key: str,
        content: bytes | t.Iterator[bytes] | None,
        headers: dict[str, str] | None = None,
    ) -> bytes:
        operation = f"{method} {path}"
        all_headers = _authorization_header(key) | (headers or {})
        with self._translate_errors(operation):
            response = self._http.request(
                method, path, content=content, headers=all_headers
            )
        if response.status_code not in _SUCCESS_STATUSES:
            raise failure_from_response(
                response.status_code, response.content, operation=operation
            )
        return response.content

    @contextlib.contextmanager
    def _translate_errors(self, operation: str) -> t.Iterator[None]:
        try:
            yield
        except httpx.ConnectError as error:
            raise self._unavailable(operation, f"no connection ({error})") from None
        except httpx.TimeoutException:
            raise self._unavailable(operation, "no answer in time") from None
        except httpx.HTTPError as error:
            cause = str(error) or type(error).__name__
            raise self._unavailable(operation, f"connection broke: {cause}") from None

    def _unavailable(self, operation: str, cause: str) -> CommandFailed:
        detail = f"{operation} at {self._connection.address}: {cause}"
        return CommandFailed(exit_code=ExitCode.UNAVAILABLE, detail=detail)


def _authorization_header(key: str) -> dict[str, str]:
    return {"authorization": f"Bearer {key}"} if key else {}


def _require_key(key: str, key_name: str, flag: str, variable: str) -> None:
    if key:
        return
    raise CommandFailed(
        exit_code=ExitCode.REFUSED,
        detail=f"no {key_name} was given",
        next_step=f"give {flag}, set {variable}, or put it into a profile",
    )


def _decode(data: bytes, reply: type[T], *, operation: str) -> T:
    try:
        return msgspec.json.decode(data, type=reply)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise CommandFailed(
            exit_code=ExitCode.INTERNAL,
            detail=f"{operation}: answer not understood: {error}",
            next_step="check that the address is that of an entry VM of this version",
        ) from None
