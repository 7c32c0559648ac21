"""Administration API."""

import hmac
import secrets
import typing as t

import msgspec
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from foxtailbank.asgi import read_body
from foxtailbank.caller import bearer_key
from foxtailbank.catalogue import Catalogue
from foxtailbank.catalogue_records import EntryDeleted, EntryPut
from foxtailbank.catalogue_writer import CatalogueWriter
from foxtailbank.clock import Clock
from foxtailbank.directory import Directory
from foxtailbank.entry_check import read_entry
from foxtailbank.exceptions import Forbidden, InvalidRequest, NotFound
from foxtailbank.sentinels import Missing

MAX_BODY_BYTES = 1 << 20
JSON = "application/json"


class _PutBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    entry: dict[str, t.Any]
    based_on: int = 0
    by: str = ""


class AdminApi:
    """Handlers of the operators' paths.

    Parameters
    ----------
    clock : Clock
        Source of time.
    key : str
        The operators' key.
    catalogue : Catalogue
        Entries in force on this VM.
    writer : CatalogueWriter
        Publishes edits.
    directory : Directory
        Known endpoints.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        key: str,
        catalogue: Catalogue,
        writer: CatalogueWriter,
        directory: Directory,
    ) -> None:
        self._clock = clock
        self._key = key.encode()
        self._catalogue = catalogue
        self._writer = writer
        self._directory = directory

    def routes(self) -> list[Route]:
        """Return the operators' paths with their handlers."""
        return [
            Route("/admin/catalogue", self._guard(self._list), methods=["GET"]),
            Route(
                "/admin/catalogue/{name}/history",
                self._guard(self._history),
                methods=["GET"],
            ),
            Route("/admin/catalogue/{name}", self._guard(self._get), methods=["GET"]),
            Route("/admin/catalogue/{name}", self._guard(self._put), methods=["PUT"]),
            Route(
                "/admin/catalogue/{name}",
                self._guard(self._delete),
                methods=["DELETE"],
            ),
            Route("/admin/endpoints", self._guard(self._endpoints), methods=["GET"]),
        ]

    def _guard(
        self, handler: t.Callable[[Request, bytes], t.Awaitable[Response]]
    ) -> t.Callable[[Request], t.Awaitable[Response]]:
        async def guarded(request: Request) -> Response:
            body = await read_body(request.receive, max_bytes=MAX_BODY_BYTES)
            given = bearer_key(request.scope).encode()
            if not hmac.compare_digest(given, self._key):
                raise Forbidden(detail="not the operators' key")
            return await handler(request, body)

        return guarded

    async def _list(self, request: Request, body: bytes) -> Response:
        entries = [
            {"name": name, "version": self._catalogue.version(name), "entry": entry}
            for name, entry in sorted(self._catalogue.entries_by_name.items())
        ]
        applied = self._catalogue.applied_offset
        return json_response({"entries": entries, "applied_offset": applied})

    async def _get(self, request: Request, body: bytes) -> Response:
        name = request.path_params["name"]
        entry = self._catalogue.entry(name)
        if isinstance(entry, Missing):
            raise NotFound(detail=f"no entry `{name}`")
        version = self._catalogue.version(name)
        return json_response({"name": name, "version": version, "entry": entry})

    async def _history(self, request: Request, body: bytes) -> Response:
        name = request.path_params["name"]
        history = self._catalogue.history(name)
        if not history:
            raise NotFound(detail=f"no entry `{name}`")
        return json_response({"name": name, "history": history})

    async def _put(self, request: Request, body: bytes) -> Response:
        name = request.path_params["name"]
        try:
            edit = msgspec.json.decode(body, type=_PutBody)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            raise InvalidRequest(detail=f"malformed body: {error}") from error
        others = self._catalogue.entries_by_name.values()
        entry = read_entry(edit.entry, others=others, name=name)
        version = await self._writer.publish(
            EntryPut(
                name=name,
                entry=entry,
                based_on=edit.based_on,
                edit_id=secrets.token_hex(8),
                by=edit.by,
                at_ms=self._clock.wall_ms(),
            )
        )
        return json_response({"name": name, "version": version})

    async def _delete(self, request: Request, body: bytes) -> Response:
        name = request.path_params["name"]
        based_on = request.query_params.get("based_on", "")
        if not based_on.isdecimal():
            raise InvalidRequest(detail="`based_on` must be a version")
        if isinstance(self._catalogue.entry(name), Missing):
            raise NotFound(detail=f"no entry `{name}`")
        version = await self._writer.publish(
            EntryDeleted(
                name=name,
                based_on=int(based_on),
                edit_id=secrets.token_hex(8),
                at_ms=self._clock.wall_ms(),
            )
        )
        return json_response({"name": name, "version": version})

    async def _endpoints(self, request: Request, body: bytes) -> Response:
        now_ms = self._clock.now_ms()
        endpoints = [
            backend.view(now_ms)
            for _, backend in sorted(self._directory.backends_by_id.items())
        ]
        return json_response({"endpoints": endpoints})


def json_response(content: t.Any, *, status: int = 200) -> Response:
    """Return an answer with a JSON body."""
    return Response(msgspec.json.encode(content), status_code=status, media_type=JSON)
