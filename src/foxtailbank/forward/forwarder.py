"""Serves online requests."""

from foxtailbank.forward.call import Call
from foxtailbank.forward.call_run import CallRun
from foxtailbank.forward.forward_tools import ForwardTools
from foxtailbank.forward.route import Route
from foxtailbank.http1.responder import Responder


class Forwarder:
    """Takes each online request to a worker and its answer back.

    Parameters
    ----------
    tools : ForwardTools
        What all requests share.
    """

    def __init__(self, *, tools: ForwardTools) -> None:
        self._tools = tools

    async def serve(self, call: Call, route: Route, responder: Responder) -> None:
        """Answer one request.

        Parameters
        ----------
        call : Call
            The request.
        route : Route
            Entry that it falls under.
        responder : Responder
            Where the answer goes.
        """
        run = CallRun(call=call, route=route, responder=responder, tools=self._tools)
        await run.run()
