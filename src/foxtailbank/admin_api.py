"""Administration API of the catalogue."""

import secrets
import typing as t

import msgspec
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from foxtailbank.admin_guard import AdminGuard
from foxtailbank.catalogue import Catalogue
from foxtailbank.catalogue_records import EntryDeleted, EntryPut
from foxtailbank.catalogue_writer import CatalogueWriter
from foxtailbank.clock import Clock
from foxtailbank.entry_check import parse_entry
from foxtailbank.exceptions import InvalidRequest, NotFound
from foxtailbank.json_response import json_response
from foxtailbank.sentinels import Missing


class _PutBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    entry: dict[str, t.Any]
    based_on: int = 0
    by: str = ""


class AdminApi:
    """Handlers for listing and editing catalogue entries.

    Parameters
    ----------
    clock : Clock
        Source of time.
    guard : AdminGuard
        Authenticates operators.
    catalogue : Catalogue
        Current entries on this VM.
    writer : CatalogueWriter
        Publishes edits.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        guard: AdminGuard,
        catalogue: Catalogue,
        writer: CatalogueWriter,
    ) -> None:
        self._clock = clock
        self._guard = guard
        self._catalogue = catalogue
        self._writer = writer

    def routes(self) -> list[Route]:
        """Return the routes, each guarded by the operators' key."""
        entry_path = "/admin/catalogue/{name}"
        return [
            self._guard.route("/admin/catalogue", self._list),
            self._guard.route(entry_path + "/history", self._history),
            self._guard.route(entry_path, self._get),
            self._guard.route(entry_path, self._put, method="PUT"),
            self._guard.route(entry_path, self._delete, method="DELETE"),
        ]

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
        entry = parse_entry(edit.entry, others=others, name=name)
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
