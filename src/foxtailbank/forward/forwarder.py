"""Entry point of forwarding."""

from foxtailbank.forward.call import Call
from foxtailbank.forward.call_handler import CallHandler
from foxtailbank.forward.forward_context import ForwardContext
from foxtailbank.forward.route import Route
from foxtailbank.http1.responder import Responder
from foxtailbank.relay.relay_messages import RelayedAttempt


class Forwarder:
    """Forwards online requests to workers.

    Parameters
    ----------
    context : ForwardContext
        Components shared by all requests.
    """

    def __init__(self, *, context: ForwardContext) -> None:
        self._context = context

    @property
    def context(self) -> ForwardContext:
        """Components shared by all requests."""
        return self._context

    async def serve(
        self,
        call: Call,
        route: Route,
        responder: Responder,
        *,
        relayed: RelayedAttempt | None = None,
    ) -> bool:
        """Forward one request and send its response.

        Parameters
        ----------
        call : Call
            The request.
        route : Route
            Route that it matched.
        responder : Responder
            Sends the response to the client.
        relayed : RelayedAttempt, optional
            Given if another VM asks for one attempt of the request.

        Returns
        -------
        bool
            Whether a worker may have run it.
        """
        handler = CallHandler(
            call=call,
            route=route,
            responder=responder,
            context=self._context,
            relayed=relayed,
        )
        return await handler.run()
