"""Shares of fleet-wide limits that hold even while VMs can't reach each other."""

import dataclasses

from foxtailbank import share_epoch, share_limit, share_loans, share_messages

QUERY_INTERVAL_MS = 1000
MAX_QUERIES = 8


@dataclasses.dataclass(frozen=True, kw_only=True)
class QueryEpoch:
    """Ask a VM which epoch's shares it keeps to."""

    to: str
    message: share_messages.ShareEpochQuery


ShareAction = share_limit.LimitAction | QueryEpoch


class Shares:
    """Shares of all limits at one VM.

    A share is this VM's part of the limit in the latest epoch. While another
    holder may still use a larger part from an earlier epoch, the share is the
    smallest of this VM's parts in all epochs since then. VMs lend each other units
    in loans that expire by themselves.

    Parameters
    ----------
    holder : ShareHolder
        This VM's incarnation.
    config : ShareConfig
        Times and bounds.
    """

    def __init__(
        self,
        *,
        holder: share_epoch.ShareHolder,
        config: share_limit.ShareConfig | None = None,
    ) -> None:
        self._holder = holder
        self._config = config or share_limit.ShareConfig()
        self._limit_by_key: dict[str, share_limit.ShareLimit] = {}
        self._epochs = [share_epoch.ShareEpoch(number=0)]
        self._applied_by_holder_id: dict[str, int] = {}
        self._applied_epoch = 0
        self._skipped_before = -1
        self._old_loans_until_ms = 0
        self._next_query_ms = 0
        self._query_cursor = 0

    @property
    def epoch(self) -> share_epoch.ShareEpoch:
        """Latest epoch."""
        return self._epochs[-1]

    def set_limit(self, *, limit_key: str, units: int, hold_ms: int = 0) -> None:
        """Add or change a limit.

        Parameters
        ----------
        limit_key : str
            Name of the limit, the same on every VM.
        units : int
            Units that the whole fleet may use at once, or per unit of time.
        hold_ms : int
            Longest time for which admitted work uses a unit; 0 for rates.
        """
        limit = self._limit_by_key.get(limit_key)
        if limit is None:
            limit = share_limit.ShareLimit(
                limit_key=limit_key,
                units=units,
                hold_ms=hold_ms,
                holder=self._holder,
                config=self._config,
            )
            self._limit_by_key[limit_key] = limit
        limit.units = units
        limit.hold_ms = hold_ms
        limit.reset(tuple(self._epochs), is_settled=len(self._epochs) == 1)

    def remove_limit(self, limit_key: str) -> None:
        """Remove a limit that is no longer in the catalogue."""
        self._limit_by_key.pop(limit_key, None)

    def set_usage(self, limit_key: str, *, in_use: int, demand: int) -> None:
        """Set the usage of a limit.

        Parameters
        ----------
        limit_key : str
            Name of the limit.
        in_use : int
            Units in use.
        demand : int
            Units in use plus units that work waits for.
        """
        self._limit_by_key[limit_key].set_usage(in_use=in_use, demand=demand)

    def usable_units(self, limit_key: str, *, now_ms: int) -> int:
        """Return how many units of a limit this VM may use.

        Parameters
        ----------
        limit_key : str
            Name of the limit; an unknown one has no units.
        now_ms : int
            Present time on a clock that keeps counting while the VM is suspended.

        Returns
        -------
        int
            Units; the sum over all VMs never exceeds the limit.
        """
        limit = self._limit_by_key.get(limit_key)
        return 0 if limit is None else limit.usable_units(now_ms=now_ms)

    def apply_epoch(self, epoch: share_epoch.ShareEpoch, *, now_ms: int) -> None:
        """Apply an epoch from the ledger.

        Parameters
        ----------
        epoch : ShareEpoch
            Ignored unless it is later than the latest one applied.
        now_ms : int
            Present time.
        """
        if epoch.number <= self.epoch.number:
            return
        kept_ids = {holder.holder_id for holder in epoch.holders}
        if any(holder.holder_id not in kept_ids for holder in self.epoch.holders):
            self._wait_for_loans(now_ms)
        if epoch.number > self.epoch.number + 1:
            self._skipped_before = epoch.number - 1
            self._wait_for_loans(now_ms)
        self._add_epoch(epoch)
        self._settle_if_applied(now_ms)

    def _add_epoch(self, epoch: share_epoch.ShareEpoch) -> None:
        self._epochs.append(epoch)
        for limit in self._limit_by_key.values():
            limit.add_epoch(epoch)

    def on_epoch_applied(
        self, message: share_messages.ShareEpochApplied, *, now_ms: int
    ) -> None:
        """Record which epoch another holder keeps to."""
        known_epoch = self._applied_by_holder_id.get(message.holder_id, 0)
        self._applied_by_holder_id[message.holder_id] = max(known_epoch, message.epoch)
        self._settle_if_applied(now_ms)

    def on_epoch_query(self, *, now_ms: int) -> share_messages.ShareEpochApplied:
        """Return the latest epoch whose shares this VM keeps to."""
        if all(
            limit.is_within_base_units(now_ms=now_ms)
            for limit in self._limit_by_key.values()
        ):
            self._applied_epoch = self.epoch.number
        return share_messages.ShareEpochApplied(
            holder_id=self._holder.holder_id, epoch=self._applied_epoch
        )

    def on_request(
        self, peer_id: str, message: share_messages.ShareRequest, *, now_ms: int
    ) -> share_messages.ShareGrant:
        """Lend units of a limit if possible; see `ShareLimit.on_request`."""
        limit = self._limit_by_key.get(message.limit_key)
        if limit is None:
            return share_messages.ShareGrant(
                limit_key=message.limit_key,
                loan_id=message.loan_id,
                units=0,
                loan_ms=0,
                attempt=message.attempt,
            )
        return limit.on_request(peer_id, message, now_ms=now_ms)

    def on_grant(
        self, peer_id: str, message: share_messages.ShareGrant, *, now_ms: int
    ) -> bool:
        """Add borrowed units; return False if the grant is invalid or has expired."""
        limit = self._limit_by_key.get(message.limit_key)
        return limit is not None and limit.on_grant(peer_id, message, now_ms=now_ms)

    def on_return(self, peer_id: str, message: share_messages.ShareReturn) -> None:
        """Take back lent units."""
        limit = self._limit_by_key.get(message.limit_key)
        if limit is not None:
            limit.on_return(peer_id, message)

    def tick(self, *, now_ms: int) -> tuple[ShareAction, ...]:
        """Return the messages that are due for sending."""
        self._settle_if_applied(now_ms)
        actions: list[ShareAction] = []
        for limit in self._limit_by_key.values():
            actions += limit.tick(now_ms=now_ms)
        if len(self._epochs) > 1 and now_ms >= self._next_query_ms:
            self._next_query_ms = now_ms + QUERY_INTERVAL_MS
            actions += self._next_queries()
        return tuple(actions)

    def _wait_for_loans(self, now_ms: int) -> None:
        """Keep old epochs until all loans of holders that stopped have expired."""
        holds_ms = (limit.hold_ms for limit in self._limit_by_key.values())
        longest_ms = self._config.loan_ms + max(holds_ms, default=0)
        expire_at_ms = now_ms + share_loans.lender_wait_ms(longest_ms)
        self._old_loans_until_ms = max(self._old_loans_until_ms, expire_at_ms)

    def _lagging_holders(self) -> tuple[share_epoch.ShareHolder, ...]:
        """Return holders that may still use a share of an earlier epoch."""
        earlier_ids = {
            holder.holder_id for epoch in self._epochs[:-1] for holder in epoch.holders
        }
        has_all_epochs = self._skipped_before < self._epochs[0].number
        return tuple(
            holder
            for holder in self.epoch.holders
            if holder != self._holder
            and (holder.holder_id in earlier_ids or not has_all_epochs)
            and self._applied_by_holder_id.get(holder.holder_id, 0) < self.epoch.number
        )

    def _settle_if_applied(self, now_ms: int) -> None:
        """Drop earlier epochs once no holder and no loan can use them any more."""
        if len(self._epochs) == 1:
            return
        if now_ms < self._old_loans_until_ms or self._lagging_holders():
            return
        del self._epochs[:-1]
        for limit in self._limit_by_key.values():
            limit.settle()

    def _next_queries(self) -> tuple[QueryEpoch, ...]:
        lagging = self._lagging_holders()
        if not lagging:
            return ()
        start = self._query_cursor % len(lagging)
        self._query_cursor += MAX_QUERIES
        targets = (lagging[start:] + lagging[:start])[:MAX_QUERIES]
        query = share_messages.ShareEpochQuery(epoch=self.epoch.number)
        return tuple(QueryEpoch(to=holder.vm_id, message=query) for holder in targets)
