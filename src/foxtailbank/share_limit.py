"""Share of one limit at one VM, with the loans to and from other VMs."""

import dataclasses
import itertools

from foxtailbank import share_epoch, share_loans, share_messages

# Renewal of a loan is requested in the last `loan_ms / RENEW_DIVISOR` of its term.
RENEW_DIVISOR = 2


@dataclasses.dataclass(frozen=True, kw_only=True)
class ShareConfig:
    """Times and bounds of loans.

    Attributes
    ----------
    loan_ms : int
        Duration of a loan.
    request_interval_ms : int
        Minimum time between requests for units of the same limit.
    """

    loan_ms: int = 5000
    request_interval_ms: int = 100


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestUnits:
    """Send a request for a loan, or for its renewal, to a VM."""

    to: str
    message: share_messages.ShareRequest


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReturnUnits:
    """Return borrowed units to a VM."""

    to: str
    message: share_messages.ShareReturn


LimitAction = RequestUnits | ReturnUnits


@dataclasses.dataclass(frozen=True, kw_only=True)
class _PendingRequest:
    """A loan request that has not been answered."""

    vm_id: str
    loan_id: str
    sent_ms: int


class ShareLimit:
    """Share of one limit at one VM.

    Parameters
    ----------
    limit_key : str
        Name of the limit.
    units : int
        Limit of the whole fleet.
    hold_ms : int
        Longest time for which admitted work uses a unit; 0 for rates.
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
        self._lent = share_loans.LoanTable()
        self._borrowed = share_loans.LoanTable()
        self._pending_by_attempt: dict[int, _PendingRequest] = {}
        self._last_denial = ("", 0)
        self._counter = itertools.count(1)
        self._next_request_ms = 0
        self._lender_cursor = 0
        self._epoch = share_epoch.ShareEpoch(number=0)
        self._lender_ids: tuple[str, ...] | None = None
        self._base_units = 0
        self._own_units = 0
        self._in_use = 0
        self._demand = 0

    def reset(
        self, epochs: tuple[share_epoch.ShareEpoch, ...], *, is_settled: bool
    ) -> None:
        """Recompute the share from all epochs that holders may use, latest last."""
        self._own_units = self._base_units_in(epochs[0])
        for epoch in epochs:
            self.add_epoch(epoch)
        if is_settled:
            self.settle()

    def add_epoch(self, epoch: share_epoch.ShareEpoch) -> None:
        """Apply the next epoch, which other holders may not have applied yet."""
        self._epoch = epoch
        self._base_units = self._base_units_in(epoch)
        self._own_units = min(self._own_units, self._base_units)
        self._lender_ids = None

    def settle(self) -> None:
        """Use the latest epoch's share in full, as all holders now keep to it."""
        self._own_units = self._base_units

    def _base_units_in(self, epoch: share_epoch.ShareEpoch) -> int:
        return epoch.base_units_of(
            self._holder, limit_key=self.limit_key, units=self.units
        )

    def _next_lender(self) -> str | None:
        if self._lender_ids is None:
            units_by_holder_id = self._epoch.base_units(
                limit_key=self.limit_key, units=self.units
            )
            # Holders of this VM's own zone come first.
            lenders = sorted(
                (holder.zone != self._holder.zone, holder.vm_id)
                for holder in self._epoch.holders
                if units_by_holder_id[holder.holder_id] > 0 and holder != self._holder
            )
            self._lender_ids = tuple(vm_id for _, vm_id in lenders)
        if not self._lender_ids:
            return None
        return self._lender_ids[self._lender_cursor % len(self._lender_ids)]

    def set_usage(self, *, in_use: int, demand: int) -> None:
        """Set the units in use and the demand, which includes those in use."""
        self._in_use = in_use
        self._demand = demand

    def usable_units(self, *, now_ms: int) -> int:
        """Return how many units may be in use."""
        own = self._own_units - self._lent.active_units(now_ms=now_ms)
        return max(0, own) + self._borrowed.active_units(now_ms=now_ms)

    def is_within_base_units(self, *, now_ms: int) -> bool:
        """Return whether units in use and lent fit the latest epoch's share."""
        borrowed = self._borrowed.active_units(now_ms=now_ms)
        own_use = max(0, self._in_use - borrowed)
        return own_use + self._lent.active_units(now_ms=now_ms) <= self._base_units

    def tick(self, *, now_ms: int) -> tuple[LimitAction, ...]:
        """Request units that are needed, and return borrowed ones that are not."""
        self._lent.remove_expired(before_ms=now_ms)
        self._borrowed.remove_expired(before_ms=now_ms - self.hold_ms)
        need = max(self._demand, self._in_use)
        spare = self.usable_units(now_ms=now_ms) - need
        returned = self._return_loans(spare, now_ms) if spare >= 0 else ()
        if now_ms < self._next_request_ms:
            return returned
        renewals = self._request_renewals(need, now_ms)
        requests = self._request_loan(-spare, now_ms) if spare < 0 else ()
        if renewals or requests:
            self._next_request_ms = now_ms + self._config.request_interval_ms
        return (*returned, *renewals, *requests)

    def _request_renewals(self, need: int, now_ms: int) -> tuple[LimitAction, ...]:
        """Request renewal of loans that expire soon, if their units are needed."""
        soon_ms = now_ms + self._config.loan_ms // RENEW_DIVISOR
        missing = need - self.usable_units(now_ms=soon_ms)
        requests: list[LimitAction] = []
        for loan in self._borrowed.loans_by_expiry():
            if missing > 0 and now_ms < loan.expires_at_ms <= soon_ms:
                missing -= loan.units
                requests.append(
                    self._make_request(loan.peer_id, loan.loan_id, loan.units, now_ms)
                )
        return tuple(requests)

    def _request_loan(self, missing: int, now_ms: int) -> tuple[LimitAction, ...]:
        vm_id = self._next_lender()
        if vm_id is None:
            return ()
        self._lender_cursor += 1
        loan_id = f"{self._holder.holder_id}/{next(self._counter)}"
        return (self._make_request(vm_id, loan_id, missing, now_ms),)

    def _make_request(
        self, vm_id: str, loan_id: str, units: int, now_ms: int
    ) -> RequestUnits:
        self._drop_expired_requests(now_ms)
        attempt = next(self._counter)
        self._pending_by_attempt[attempt] = _PendingRequest(
            vm_id=vm_id, loan_id=loan_id, sent_ms=now_ms
        )
        request = share_messages.ShareRequest(
            limit_key=self.limit_key, loan_id=loan_id, units=units, attempt=attempt
        )
        return RequestUnits(to=vm_id, message=request)

    def on_request(
        self, peer_id: str, request: share_messages.ShareRequest, *, now_ms: int
    ) -> share_messages.ShareGrant:
        """Lend spare units, or renew a loan whose units are not needed elsewhere.

        Parameters
        ----------
        peer_id : str
            VM that sent the request.
        request : ShareRequest
            Requested loan.
        now_ms : int
            Present time.

        Returns
        -------
        ShareGrant
            Answer to the request; it has no units if the request is refused.
        """
        loan = self._lent.find_active(request.loan_id, now_ms=now_ms)
        if loan is not None:
            units = 0 if self._is_needed_elsewhere(loan, now_ms) else loan.units
        else:
            units = min(request.units, self._spare_units(now_ms))
        if units > 0:
            self._lend(peer_id, request.loan_id, units, now_ms)
        elif loan is None:
            self._last_denial = (peer_id, now_ms)
        return share_messages.ShareGrant(
            limit_key=self.limit_key,
            loan_id=request.loan_id,
            units=units,
            loan_ms=self._config.loan_ms,
            attempt=request.attempt,
        )

    def _lend(self, peer_id: str, loan_id: str, units: int, now_ms: int) -> None:
        duration_ms = share_loans.lender_wait_ms(self._config.loan_ms + self.hold_ms)
        self._lent.add(
            share_loans.Loan(
                loan_id=loan_id,
                peer_id=peer_id,
                units=units,
                expires_at_ms=now_ms + duration_ms,
            )
        )

    def _is_needed_elsewhere(self, loan: share_loans.Loan, now_ms: int) -> bool:
        """Return whether this VM or a third one needs the units of a loan.

        A third VM needs them if its request was refused within the last `loan_ms`.
        """
        if max(self._demand, self._in_use) > self.usable_units(now_ms=now_ms):
            return True
        denied_id, denied_at_ms = self._last_denial
        is_recent = now_ms - denied_at_ms <= self._config.loan_ms
        return is_recent and denied_id not in ("", loan.peer_id)

    def on_grant(
        self, peer_id: str, grant: share_messages.ShareGrant, *, now_ms: int
    ) -> bool:
        """Add borrowed units; return False if the grant is invalid or has expired."""
        pending = self._pending_by_attempt.pop(grant.attempt, None)
        if pending is None or (pending.vm_id, pending.loan_id) != (
            peer_id,
            grant.loan_id,
        ):
            return False
        expires_at_ms = pending.sent_ms + grant.loan_ms
        if expires_at_ms <= now_ms or grant.units <= 0:
            return False
        loan = share_loans.Loan(
            loan_id=grant.loan_id,
            peer_id=peer_id,
            units=grant.units,
            expires_at_ms=expires_at_ms,
        )
        self._borrowed.add(loan)
        # Undoes the advance in `_request_loan`: a lender that lent is asked again next.
        self._lender_cursor -= 1
        return True

    def on_return(self, peer_id: str, message: share_messages.ShareReturn) -> None:
        """Take back lent units; ignored unless the borrower itself returns them."""
        loan = self._lent.remove(message.loan_id)
        if loan is not None and loan.peer_id != peer_id:
            self._lent.add(loan)

    def _spare_units(self, now_ms: int) -> int:
        own = self._own_units - self._lent.active_units(now_ms=now_ms)
        return max(0, own - max(self._in_use, self._demand))

    def _return_loans(self, spare: int, now_ms: int) -> tuple[LimitAction, ...]:
        returned: list[LimitAction] = []
        for loan in self._borrowed.loans_by_expiry():
            is_active = loan.expires_at_ms > now_ms
            if is_active and loan.units > spare:
                continue
            spare -= loan.units if is_active else 0
            self._borrowed.remove(loan.loan_id)
            self._drop_requests_for(loan.loan_id)
            message = share_messages.ShareReturn(
                limit_key=self.limit_key, loan_id=loan.loan_id
            )
            returned.append(ReturnUnits(to=loan.peer_id, message=message))
        return tuple(returned)

    def _drop_expired_requests(self, now_ms: int) -> None:
        expired_ms = now_ms - self._config.loan_ms
        self._pending_by_attempt = {
            attempt: pending
            for attempt, pending in self._pending_by_attempt.items()
            if pending.sent_ms > expired_ms
        }

    def _drop_requests_for(self, loan_id: str) -> None:
        """Drop requests for a returned loan, so that late grants are ignored."""
        self._pending_by_attempt = {
            attempt: pending
            for attempt, pending in self._pending_by_attempt.items()
            if pending.loan_id != loan_id
        }
