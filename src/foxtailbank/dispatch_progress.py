"""How far the work of the dispatcher has come."""

import dataclasses

from foxtailbank.exceptions import EndpointStalled, FoxtailbankError, Ran
from foxtailbank.vm_list import Vm


@dataclasses.dataclass(kw_only=True)
class DispatchProgress:
    """State of one piece of work across its attempts.

    Attributes
    ----------
    resume_at : int
        Index of the first token that is still needed.
    writer : Vm or None
        Endpoint that wrote the tokens before; None without any.
    may_have_run : bool
        Whether an endpoint may have run it.
    tried : frozenset of str
        Endpoints that must not get it again.
    stalled : frozenset of str
        Endpoints that stalled once.
    """

    resume_at: int
    writer: Vm | None = None
    may_have_run: bool = False
    tried: frozenset[str] = frozenset()
    stalled: frozenset[str] = frozenset()

    def record_failure(self, endpoint_id: str, failure: FoxtailbankError) -> None:
        """Exclude an endpoint, except after its first stall there.

        An endpoint that stalled once may be tried again on a new connection.
        """
        first_stall = endpoint_id not in self.stalled
        if isinstance(failure, EndpointStalled) and first_stall:
            self.stalled |= {endpoint_id}
        else:
            self.tried |= {endpoint_id}

    @property
    def ran(self) -> Ran:
        """Whether the work may have run on an endpoint."""
        return Ran.UNKNOWN if self.may_have_run else Ran.NO
