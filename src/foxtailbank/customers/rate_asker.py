"""Asks the granting VM for one customer's permits, and decides on its requests."""

import collections
import dataclasses
import itertools
import typing as t

from foxtailbank.clock import MS_PER_S
from foxtailbank.customers.rate_bucket import MAX_RETRY_AFTER_MS, PERMIT_LIFE_MS
from foxtailbank.customers.rate_fleet import RateFleet
from foxtailbank.customers.rate_guarantee import GuaranteedPart
from foxtailbank.customers.rate_limit import RateLimit
from foxtailbank.customers.rate_messages import (
    MAX_PERMITS,
    PermitAnswer,
    PermitRequest,
)
from foxtailbank.customers.rate_permits import Permit, PermitStock, RequestRate
from foxtailbank.customers.rate_wait import Outcome, PermitWait

# Until a request for permits is sent again, and, at last, given up. A VM may be
# without a processor for the rest of a tenth of a second.
ATTEMPT_MS = (25, 50, 75)
MAX_TARGETS = 2  # VMs that are asked for the same client requests
MAX_CLIENT_WAIT_MS = 300
LOST_RETRY_AFTER_MS = 500  # by then another VM grants
STARTUP_RETRY_AFTER_MS = 250  # until the other VMs are known
DENIED_MS = 100  # after a denial a VM asks again no later
DECLINED_MS = 100  # a VM that sees another one as the granting VM is not asked again
NEED_MS = 200  # permits are asked for ahead for this time


@dataclasses.dataclass(kw_only=True)
class _Pending:
    """A request for permits that was sent.

    Attributes
    ----------
    vm_id : str
        The VM that was asked.
    request : PermitRequest
        The request.
    sent_ms : int
        When it was first sent.
    attempts : int
        How often it was sent.
    due_ms : int
        When it is sent again or given up.
    targets : int
        VMs that were asked for the same client requests.
    """

    vm_id: str
    request: PermitRequest
    sent_ms: int
    attempts: int
    due_ms: int
    targets: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Denial:
    """What the granting VM said when it had no permit left.

    Attributes
    ----------
    at_ms : int
        When it was heard.
    wait_ms : int
        Time from then on until a permit is likely.
    """

    at_ms: int
    wait_ms: int


class PermitAsker:
    """Asks for permits of one customer.

    Parameters
    ----------
    customer : str
        Name of the customer.
    vm_id : str
        This VM.
    incarnation : int
        This process.
    fleet : RateFleet
        Which VM grants.
    numbers : iterator of int
        Numbers of messages.
    send : callable
        Sends a request to a VM; if that is this VM, the answer comes before it returns.

    Attributes
    ----------
    limit : RateLimit
        Limit of the customer.
    answered_ms : int or None
        When the last permit or denial came.
    """

    def __init__(
        self,
        *,
        customer: str,
        vm_id: str,
        incarnation: int,
        limit: RateLimit,
        fleet: RateFleet,
        numbers: t.Iterator[int],
        send: t.Callable[[str, PermitRequest, int], None],
    ) -> None:
        self._customer = customer
        self._vm_id = vm_id
        self._incarnation = incarnation
        self.limit = limit
        self.answered_ms: int | None = None
        self._fleet = fleet
        self._numbers = numbers
        self._send = send
        self._stock = PermitStock()
        self._need = RequestRate(window_ms=NEED_MS)
        self._waiting: collections.deque[PermitWait] = collections.deque()
        self._pending: _Pending | None = None
        # Given up, but an answer may still come.
        self._late_by_number: dict[int, _Pending] = {}
        self._denial: _Denial | None = None
        self._refused = 0
        self._declined_ms: int | None = None
        self._guaranteed = GuaranteedPart()

    @property
    def is_idle(self) -> bool:
        """Whether no client request waits."""
        return not self._waiting

    @property
    def due_ms(self) -> int | None:
        """When `on_time` must be called; None if nothing is expected."""
        return None if self._pending is None else self._pending.due_ms

    def outlook(self, now_ms: int) -> Outcome | None:
        """Return how the next client request is decided on; None if it asks first."""
        if self.permit_count(now_ms) > len(self._waiting):
            return Outcome.GRANTED
        if not self._fleet.is_ready:
            return Outcome.STARTING
        return Outcome.LIMIT if self._is_denied(now_ms) else None

    def permit_count(self, now_ms: int) -> int:
        """Return how many permits this VM holds."""
        return self._stock.count(now_ms)

    def request(self, now_ms: int) -> PermitWait:
        """Decide on a client request, at once if possible."""
        wait = PermitWait(started_ms=now_ms)
        outlook = self.outlook(now_ms)
        self._need.add(now_ms)
        self._waiting.append(wait)
        self._serve(now_ms)
        match outlook:
            case Outcome.GRANTED:
                self._ask_ahead(now_ms)
            case Outcome.STARTING:
                self._refuse_waiting(STARTUP_RETRY_AFTER_MS, Outcome.STARTING)
            case Outcome.LIMIT:
                self._refuse_denied(now_ms)
            case None if self._pending is None:
                self._ask(now_ms)
        return wait

    def cancel(self, wait: PermitWait, now_ms: int) -> None:
        """Forget a client request whose sender has left."""
        if wait.permit is not None:
            self.give_back(wait.permit, now_ms)
        elif wait in self._waiting:
            self._waiting.remove(wait)

    def give_back(self, permit: Permit, now_ms: int) -> None:
        """Take back the permit of a request that did not run."""
        if permit.granting_vm:
            self._stock.give_back(permit, now_ms)
            self._serve(now_ms)

    def on_answer(self, answer: PermitAnswer, now_ms: int) -> None:
        """Apply an answer; one that was not asked for is ignored."""
        pending = self._pending
        is_current = pending is not None and pending.request.number == answer.number
        if not is_current:
            pending = self._late_by_number.get(answer.number)
        if pending is None or pending.vm_id != answer.vm_id:
            return
        self._late_by_number.pop(answer.number, None)
        if is_current:
            self._pending = None
        if answer.granting_vm != answer.vm_id:
            if is_current:
                self._on_declined(answer.granting_vm, pending, now_ms)
            return
        self._on_granted(answer, pending, now_ms)

    def on_time(self, now_ms: int) -> None:
        """Repeat or give up a request for permits that is due."""
        pending = self._pending
        if pending is None or now_ms < pending.due_ms:
            return
        if pending.attempts < len(ATTEMPT_MS):
            pending.due_ms = now_ms + ATTEMPT_MS[pending.attempts]
            pending.attempts += 1
            self._send(pending.vm_id, pending.request, now_ms)
            return
        self._pending = None
        self._keep_late(pending, now_ms)
        self._fleet.pass_over(pending.vm_id, now_ms)
        self._ask_other(pending, now_ms)

    def _on_granted(self, answer: PermitAnswer, pending: _Pending, now_ms: int) -> None:
        self.answered_ms = now_ms
        self._declined_ms = None
        self._guaranteed.end()
        permit = Permit(
            customer=self._customer,
            granting_vm=answer.vm_id,
            number=answer.number,
            expires_ms=pending.sent_ms + min(answer.life_ms, PERMIT_LIFE_MS),
        )
        self._stock.add(permit, answer.granted)
        self._serve(now_ms)
        self._denial = None
        if answer.wait_ms:
            self._denial = _Denial(at_ms=now_ms, wait_ms=answer.wait_ms)
            self._refuse_denied(now_ms)
        elif self._waiting and self._pending is None:
            self._ask(now_ms)

    def _on_declined(self, granting_vm: str, pending: _Pending, now_ms: int) -> None:
        """Ask the VM that the asked one names, unless it does not answer."""
        if granting_vm != self._vm_id and self._fleet.is_reachable(granting_vm):
            if pending.targets < MAX_TARGETS:
                self._ask(now_ms, vm_id=granting_vm, targets=pending.targets + 1)
                return
        elif self._fleet.granting_vm(self._customer) != pending.vm_id:
            self._ask_other(pending, now_ms)
            return
        self._declined_ms = now_ms
        self._use_guaranteed(now_ms)

    def _ask_other(self, pending: _Pending, now_ms: int) -> None:
        if pending.targets < MAX_TARGETS:
            self._ask(now_ms, targets=pending.targets + 1)
        else:
            self._use_guaranteed(now_ms)

    def _ask_ahead(self, now_ms: int) -> None:
        """Ask for further permits before the last ones are used."""
        if self._pending is not None or self._is_denied(now_ms):
            return
        if self._fleet.granting_vm(self._customer) == self._vm_id:
            return
        need = self._need.estimate(now_ms)
        if need >= 1.5 and 2 * self._stock.count(now_ms) <= need:
            self._ask(now_ms)

    def _ask(self, now_ms: int, *, vm_id: str = "", targets: int = 1) -> None:
        if self._waiting:
            waited_ms = now_ms - self._waiting[0].started_ms
            is_declined = self._is_declined(now_ms)
            if waited_ms > MAX_CLIENT_WAIT_MS or is_declined:
                self._use_guaranteed(now_ms)
                return
        vm_id = vm_id or self._fleet.granting_vm(self._customer)
        needed = min(len(self._waiting), MAX_PERMITS)
        is_own = vm_id == self._vm_id
        wanted = needed if is_own else max(needed, round(self._need.estimate(now_ms)))
        request = PermitRequest(
            vm_id=self._vm_id,
            incarnation=self._incarnation,
            number=next(self._numbers),
            customer=self._customer,
            needed=needed,
            wanted=min(wanted, MAX_PERMITS),
            refused=min(self._refused, MAX_PERMITS),
            unused=self._stock.take_unused(vm_id, now_ms),
        )
        self._refused = 0
        self._pending = _Pending(
            vm_id=vm_id,
            request=request,
            sent_ms=now_ms,
            attempts=1,
            due_ms=now_ms + ATTEMPT_MS[0],
            targets=targets,
        )
        self._send(vm_id, request, now_ms)

    def _keep_late(self, pending: _Pending, now_ms: int) -> None:
        self._late_by_number = {
            number: late
            for number, late in self._late_by_number.items()
            if now_ms - late.sent_ms < PERMIT_LIFE_MS
        }
        self._late_by_number[pending.request.number] = pending

    def _serve(self, now_ms: int) -> None:
        while self._waiting and (permit := self._stock.take(now_ms)) is not None:
            self._guaranteed.on_granted(now_ms)
            self._waiting.popleft().admit(permit, Outcome.GRANTED)

    def _is_denied(self, now_ms: int) -> bool:
        denial = self._denial
        if denial is None:
            return False
        return now_ms < denial.at_ms + min(denial.wait_ms, DENIED_MS)

    def _is_declined(self, now_ms: int) -> bool:
        declined_ms = self._declined_ms
        return declined_ms is not None and now_ms < declined_ms + DECLINED_MS

    def _refuse_denied(self, now_ms: int) -> None:
        """Refuse what waits, each with a time of its own, so that all may come back."""
        denial = self._denial
        if denial is None:
            return
        while self._waiting:
            ahead_ms = self._refused * MS_PER_S / self.limit.rate_per_s
            left_ms = denial.at_ms + denial.wait_ms - now_ms
            retry_after_ms = min(MAX_RETRY_AFTER_MS, round(left_ms + ahead_ms))
            self._refused += 1
            self._waiting.popleft().refuse(max(1, retry_after_ms), Outcome.LIMIT)

    def _refuse_waiting(self, retry_after_ms: int, outcome: Outcome) -> None:
        while self._waiting:
            self._waiting.popleft().refuse(retry_after_ms, outcome)

    def _use_guaranteed(self, now_ms: int) -> None:
        """Let pass what this VM may without an answer, and refuse the rest."""
        while self._waiting and self._guaranteed.take(
            self.limit, self._fleet.guaranteed_share, now_ms
        ):
            permit = Permit(
                customer=self._customer, granting_vm="", number=0, expires_ms=now_ms
            )
            self._waiting.popleft().admit(permit, Outcome.GUARANTEED)
        self._refuse_waiting(LOST_RETRY_AFTER_MS, Outcome.NO_ANSWER)


def message_numbers() -> t.Iterator[int]:
    """Return the numbers of one process's messages."""
    return itertools.count(1)
