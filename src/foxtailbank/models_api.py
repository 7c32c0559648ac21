"""HTTP API that lists the models available to a caller's API key."""

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from foxtailbank.asgi import drain_body
from foxtailbank.caller import authenticate
from foxtailbank.catalogue import Catalogue
from foxtailbank.entry import EntryKind, WorkClass
from foxtailbank.json_response import json_response


class ModelsApi:
    """Handler of `/v1/models`.

    Parameters
    ----------
    catalogue : Catalogue
        Entries and the keys that grant access to them.
    """

    def __init__(self, *, catalogue: Catalogue) -> None:
        self._catalogue = catalogue

    def routes(self) -> list[Route]:
        """Return the route of the handler."""
        return [Route("/v1/models", self._models, methods=["GET"])]

    async def _models(self, request: Request) -> Response:
        await drain_body(request.receive)
        caller = authenticate(request.scope, self._catalogue)
        entries = self._catalogue.entries_of_key(caller.hashed_key)
        models = sorted(
            {
                entry.model
                for entry in entries
                if entry.kind is EntryKind.ENGINE
                and entry.work_class is WorkClass.ONLINE
            }
        )
        listed = [
            {"id": model, "object": "model", "created": 0, "owned_by": caller.owner}
            for model in models
        ]
        return json_response({"object": "list", "data": listed})
