"""Share of one limit at one VM."""

import dataclasses
import itertools

from foxtailbank import share_epoch, share_loans, share_messages

RENEW_FRACTION = 2


@dataclasses.dataclass(frozen=True, kw_only=True)
class ShareConfig:
    """Times and bounds of loans.

    Attributes
    ----------
    loan_ms : int
        Duration of a loan.
    ask_interval_ms : int
        Time between two requests for units of the same limit.
    """

    loan_ms: int = 5000
    ask_interval_ms: int = 100


@dataclasses.dataclass(frozen=True, kw_only=True)
class AskForUnits:
    """Send a request for units to a VM."""

    to: str
    message: share_messages.ShareRequest


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReturnUnits:
    """Send borrowed units back to a VM."""

    to: str
    message: share_messages.ShareReturn


LimitAction = AskForUnits | ReturnUnits


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Asked:
    """A request that a grant may answer."""

    vm_id: str
    loan_id: str
    sent_ms: int


class ShareLimit:
    """Share of one limit.

    Parameters
    ----------
    limit_key : str
        Name of the limit.
    units : int
        The limit.
    hold_ms : int
        Longest time for which work goes on using a unit after it was admitted; 0
        for rates.
    holder : ShareHolder
        This VM's incarnation.
    config : ShareConfig
        Times and bounds.
    """

    def __init__(
        self,
        *,
        limit_key: str,
        units: int,
        hold_ms: int,
        holder: share_epoch.ShareHolder,
        config: ShareConfig,
    ) -> None:
        self.limit_key = limit_key
        self.units = units
        self.hold_ms = hold_ms
        self._holder = holder
        self._config = config
        self._lent = share_loans.LoanBook()
        self._borrowed = share_loans.LoanBook()
        self._asked_by_attempt: dict[int, _Asked] = {}
        self._denied = ("", 0)
        self._numbers = itertools.count(1)
        self._next_ask_ms = 0
        self._lender_cursor = 0
        self._epoch = share_epoch.ShareEpoch(number=0)
        self._lenders: tuple[str, ...] | None = None
        self._base = 0
        self._cap = 0
        self._in_use = 0
        self._wanted = 0

    def reset(
        self, epochs: tuple[share_epoch.ShareEpoch, ...], *, is_settled: bool
    ) -> None:
        """Take over the epochs that may be in use somewhere, the latest last."""
        self._cap = self._base_in(epochs[0])
        for epoch in epochs:
            self.add_epoch(epoch)
        if is_settled:
            self.settle()

    def add_epoch(self, epoch: share_epoch.ShareEpoch) -> None:
        """Take over the next epoch, of which others may not know yet."""
        self._epoch = epoch
        self._base = self._base_in(epoch)
        self._cap = min(self._cap, self._base)
        self._lenders = None

    def settle(self) -> None:
        """Use the latest epoch's share in full: no other holder uses more."""
        self._cap = self._base

    def _base_in(self, epoch: share_epoch.ShareEpoch) -> int:
        return epoch.base_of(self._holder, limit_key=self.limit_key, units=self.units)

    def _lender(self) -> str | None:
        if self._lenders is None:
            base = self._epoch.base_units(limit_key=self.limit_key, units=self.units)
            found = sorted(
                (one.zone != self._holder.zone, one.vm_id)
                for one in self._epoch.holders
                if base[one.holder_id] > 0 and one != self._holder
            )
            self._lenders = tuple(vm_id for _, vm_id in found)
        if not self._lenders:
            return None
        return self._lenders[self._lender_cursor % len(self._lenders)]

    def set_use(self, *, in_use: int, wanted: int) -> None:
        """Tell what is used now and what is wanted in all."""
        self._in_use = in_use
        self._wanted = wanted

    def usable(self, *, now_ms: int) -> int:
        """Return how many units may be in use."""
        own = self._cap - self._lent.units(now_ms=now_ms)
        return max(0, own) + self._borrowed.units(now_ms=now_ms)

    def is_within(self, *, now_ms: int) -> bool:
        """Return whether use and loans keep to the latest epoch's share."""
        borrowed = self._borrowed.units(now_ms=now_ms)
        own_use = max(0, self._in_use - borrowed)
        return own_use + self._lent.units(now_ms=now_ms) <= self._base

    def tick(self, *, now_ms: int) -> tuple[LimitAction, ...]:
        """Ask for units that are wanted, and return ones that are not."""
        self._lent.forget_ended(before_ms=now_ms)
        self._borrowed.forget_ended(before_ms=now_ms - self.hold_ms)
        need = max(self._wanted, self._in_use)
        spare = self.usable(now_ms=now_ms) - need
        returned = self._give_back(spare, now_ms) if spare >= 0 else ()
        if now_ms < self._next_ask_ms:
            return returned
        renewed = self._renew(need, now_ms)
        asked = self._ask(-spare, now_ms) if spare < 0 else ()
        if renewed or asked:
            self._next_ask_ms = now_ms + self._config.ask_interval_ms
        return (*returned, *renewed, *asked)

    def _renew(self, need: int, now_ms: int) -> tuple[LimitAction, ...]:
        """Ask to prolong loans that end soon, if they are needed."""
        soon_ms = now_ms + self._config.loan_ms // RENEW_FRACTION
        missing = need - self.usable(now_ms=soon_ms)
        asked: list[LimitAction] = []
        for loan in self._borrowed.loans():
            if missing > 0 and now_ms < loan.until_ms <= soon_ms:
                missing -= loan.units
                asked.append(
                    self._request(loan.peer_id, loan.loan_id, loan.units, now_ms)
                )
        return tuple(asked)

    def _ask(self, missing: int, now_ms: int) -> tuple[LimitAction, ...]:
        vm_id = self._lender()
        if vm_id is None:
            return ()
        self._lender_cursor += 1
        loan_id = f"{self._holder.holder_id}/{next(self._numbers)}"
        return (self._request(vm_id, loan_id, missing, now_ms),)

    def _request(
        self, vm_id: str, loan_id: str, units: int, now_ms: int
    ) -> AskForUnits:
        self._forget_asked(now_ms)
        attempt = next(self._numbers)
        self._asked_by_attempt[attempt] = _Asked(
            vm_id=vm_id, loan_id=loan_id, sent_ms=now_ms
        )
        request = share_messages.ShareRequest(
            limit_key=self.limit_key, loan_id=loan_id, units=units, attempt=attempt
        )
        return AskForUnits(to=vm_id, message=request)

    def on_request(
        self, peer_id: str, request: share_messages.ShareRequest, *, now_ms: int
    ) -> share_messages.ShareGrant:
        """Lend units, or prolong a loan, if there are any to spare.

        Parameters
        ----------
        peer_id : str
            Who asks.
        request : ShareRequest
            What is asked.
        now_ms : int
            Present time.

        Returns
        -------
        ShareGrant
            The answer.
        """
        loan = self._lent.find(request.loan_id, now_ms=now_ms)
        if loan is not None:
            units = 0 if self._is_wanted_back(loan, now_ms) else loan.units
        else:
            units = min(request.units, self._spare(now_ms))
        if units > 0:
            self._lend(peer_id, request.loan_id, units, now_ms)
        elif loan is None:
            self._denied = (peer_id, now_ms)
        return share_messages.ShareGrant(
            limit_key=self.limit_key,
            loan_id=request.loan_id,
            units=units,
            loan_ms=self._config.loan_ms,
            attempt=request.attempt,
        )

    def _lend(self, peer_id: str, loan_id: str, units: int, now_ms: int) -> None:
        wait_ms = share_loans.lender_ms(self._config.loan_ms + self.hold_ms)
        self._lent.add(
            share_loans.Loan(
                loan_id=loan_id,
                peer_id=peer_id,
                units=units,
                until_ms=now_ms + wait_ms,
            )
        )

    def _is_wanted_back(self, loan: share_loans.Loan, now_ms: int) -> bool:
        """Tell whether this VM or a third one lacks the units of a loan."""
        if max(self._wanted, self._in_use) > self.usable(now_ms=now_ms):
            return True
        denied_id, denied_ms = self._denied
        is_recent = now_ms - denied_ms <= self._config.loan_ms
        return is_recent and denied_id not in ("", loan.peer_id)

    def on_grant(
        self, peer_id: str, grant: share_messages.ShareGrant, *, now_ms: int
    ) -> bool:
        """Take in borrowed units and return whether they count."""
        asked = self._asked_by_attempt.pop(grant.attempt, None)
        if asked is None or (asked.vm_id, asked.loan_id) != (peer_id, grant.loan_id):
            return False
        until_ms = asked.sent_ms + grant.loan_ms
        if until_ms <= now_ms or grant.units <= 0:
            return False
        loan = share_loans.Loan(
            loan_id=grant.loan_id,
            peer_id=peer_id,
            units=grant.units,
            until_ms=until_ms,
        )
        self._borrowed.add(loan)
        self._lender_cursor -= 1
        return True

    def on_return(self, peer_id: str, message: share_messages.ShareReturn) -> None:
        """Take back lent units."""
        loan = self._lent.close(message.loan_id)
        if loan is not None and loan.peer_id != peer_id:
            self._lent.add(loan)

    def _spare(self, now_ms: int) -> int:
        own = self._cap - self._lent.units(now_ms=now_ms)
        return max(0, own - max(self._in_use, self._wanted))

    def _give_back(self, spare: int, now_ms: int) -> tuple[LimitAction, ...]:
        returned: list[LimitAction] = []
        for loan in self._borrowed.loans():
            is_active = loan.until_ms > now_ms
            if is_active and loan.units > spare:
                continue
            spare -= loan.units if is_active else 0
            self._borrowed.close(loan.loan_id)
            self._forget_attempts(loan.loan_id)
            message = share_messages.ShareReturn(
                limit_key=self.limit_key, loan_id=loan.loan_id
            )
            returned.append(ReturnUnits(to=loan.peer_id, message=message))
        return tuple(returned)

    def _forget_asked(self, now_ms: int) -> None:
        expired_ms = now_ms - self._config.loan_ms
        self._asked_by_attempt = {
            attempt: asked
            for attempt, asked in self._asked_by_attempt.items()
            if asked.sent_ms > expired_ms
        }

    def _forget_attempts(self, loan_id: str) -> None:
        """Ignore grants that are still under way for a loan given back."""
        self._asked_by_attempt = {
            attempt: asked
            for attempt, asked in self._asked_by_attempt.items()
            if asked.loan_id != loan_id
        }
