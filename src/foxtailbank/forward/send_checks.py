"""Checks of an online request right before each attempt."""

from foxtailbank.customers.customer_gate import CustomerGate, KeyUnknown
from foxtailbank.customers.key_lease import KeyLeaseLapsed
from foxtailbank.forward.call import Call
from foxtailbank.forward.call_recorder import CallRecorder
from foxtailbank.forward.final_response import FinalResponse
from foxtailbank.forward.forward_context import ForwardContext

# Reasons in log lines and metrics.
CRASHES_WORKERS = "crashes_workers"
VM_STOPPING = "vm_stopping"


class SendChecks:
    """Ends a request that must not be sent now.

    Parameters
    ----------
    call : Call
        The request.
    final : FinalResponse
        Ends it.
    recorder : CallRecorder
        Notified of the outcome.
    context : ForwardContext
        Components shared by all requests.
    """

    def __init__(
        self,
        *,
        call: Call,
        final: FinalResponse,
        recorder: CallRecorder,
        context: ForwardContext,
    ) -> None:
        self._call = call
        self._final = final
        self._recorder = recorder
        self._crashes = context.fleet.crashes
        self._gate = context.gate
        self._customers: CustomerGate | None = context.customers

    async def stop_if_crashing(self, *, may_have_run: bool) -> bool:
        """End a request that crashes workers; return whether it was ended."""
        refused_ms = self._crashes.refused_ms(self._call)
        if not refused_ms:
            return False
        self._recorder.on_crashing(refused_ms)
        if may_have_run:
            await self._final.fail(502, CRASHES_WORKERS)
        else:
            await self._final.refuse_for(CRASHES_WORKERS, refused_ms)
        return True

    async def stop_if_unwanted(self, *, may_have_run: bool) -> bool:
        """End a request whose key does not count, or that comes too late in a stop.

        What has been passed on is ended here, also by a further attempt.
        """
        if await self._stop_if_key_lost(may_have_run):
            return True
        # The check of the key may have taken a while.
        if may_have_run or not self._gate.is_closed:
            return False
        await self._final.refuse_for(VM_STOPPING, self._gate.retry_after_ms())
        return True

    async def _stop_if_key_lost(self, may_have_run: bool) -> bool:
        if self._customers is None:
            return False
        try:
            await self._customers.check(self._call.identity)
        except (KeyUnknown, KeyLeaseLapsed) as failure:
            if may_have_run:
                await self._final.fail(502, failure.code)
            elif failure.status == KeyUnknown.status:
                await self._final.deny(failure.status, failure.code)
            else:
                await self._final.refuse_for(failure.code, failure.retry_after_ms)
            return True
        return False
