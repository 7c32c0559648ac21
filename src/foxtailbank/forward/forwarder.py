"""Entry point of forwarding."""

from foxtailbank.forward.call import Call
from foxtailbank.forward.call_run import CallRun
from foxtailbank.forward.forward_tools import ForwardTools
from foxtailbank.forward.route import Route
from foxtailbank.http1.responder import Responder


class Forwarder:
    """Forwards online requests to workers.

    Parameters
    ----------
    tools : ForwardTools
        Components shared by all requests.
    """

    def __init__(self, *, tools: ForwardTools) -> None:
        self._context = tools

    async def serve(self, call: Call, route: Route, responder: Responder) -> None:
        """Forward one request and send its response.

        Parameters
        ----------
        call : Call
            The request.
        route : Route
            Route that it matched.
        responder : Responder
            Sends the response to the client.
        """
        handler = CallRun(
            call=call, route=route, responder=responder, context=self._context
        )
        await handler.run()
