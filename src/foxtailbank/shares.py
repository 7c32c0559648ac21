"""Limits that hold for the sum over all VMs, cut off or not."""

import dataclasses

from foxtailbank import share_epoch, share_limit, share_loans, share_messages

QUERY_INTERVAL_MS = 1000
MAX_QUERIES = 8


@dataclasses.dataclass(frozen=True, kw_only=True)
class AskForEpoch:
    """Ask a VM whether it keeps to its shares of an epoch."""

    to: str
    message: share_messages.ShareEpochQuery


ShareAction = share_limit.LimitAction | AskForEpoch


class Shares:
    """Shares of all limits at one VM.

    A share is this VM's part of the limit in the latest epoch. While another
    holder may still use a larger part of an earlier epoch, it is the least of the
    parts in the epochs since. Units move between VMs as loans that end by
    themselves.

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
        self._kept_epoch = 0
        self._unknown_before = -1
        self._open_until_ms = 0
        self._next_query_ms = 0
        self._query_cursor = 0

    @property
    def epoch(self) -> share_epoch.ShareEpoch:
        """Latest epoch."""
        return self._epochs[-1]

    def set_limit(self, *, limit_key: str, units: int, hold_ms: int = 0) -> None:
        """Set a limit.

        Parameters
        ----------
        limit_key : str
            Name of the limit, the same on every VM.
        units : int
            Units that the whole fleet may use at once, or per unit of time.
        hold_ms : int
            Longest time for which work goes on using a unit after it was admitted.
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
        """Forget a limit that the catalogue no longer has."""
        self._limit_by_key.pop(limit_key, None)

    def set_use(self, limit_key: str, *, in_use: int, wanted: int) -> None:
        """Tell what is used of a limit.

        Parameters
        ----------
        limit_key : str
            Name of the limit.
        in_use : int
            Units in use.
        wanted : int
            Units in use and units that work waits for.
        """
        self._limit_by_key[limit_key].set_use(in_use=in_use, wanted=wanted)

    def usable(self, limit_key: str, *, now_ms: int) -> int:
        """Return how many units of a limit may be in use at this VM.

        Parameters
        ----------
        limit_key : str
            Name of the limit; an unknown one has no units.
        now_ms : int
            Present time on a clock that counts suspension.

        Returns
        -------
        int
            Units; the sum over all VMs never exceeds the limit.
        """
        limit = self._limit_by_key.get(limit_key)
        return 0 if limit is None else limit.usable(now_ms=now_ms)

    def apply_epoch(self, epoch: share_epoch.ShareEpoch, *, now_ms: int) -> None:
        """Take in the next epoch's ledger record.

        Parameters
        ----------
        epoch : ShareEpoch
            Ignored if it is not later than the latest one.
        now_ms : int
            Present time.
        """
        if epoch.number <= self.epoch.number:
            return
        kept = {one.holder_id for one in epoch.holders}
        if any(one.holder_id not in kept for one in self.epoch.holders):
            self._wait_for_loans(now_ms)
        if epoch.number > self.epoch.number + 1:
            self._unknown_before = epoch.number - 1
            self._wait_for_loans(now_ms)
        self._add(epoch)
        self._refresh(now_ms)

    def _add(self, epoch: share_epoch.ShareEpoch) -> None:
        self._epochs.append(epoch)
        for limit in self._limit_by_key.values():
            limit.add_epoch(epoch)

    def peer_applied(
        self, message: share_messages.ShareEpochApplied, *, now_ms: int
    ) -> None:
        """Take in what epoch another holder keeps to."""
        known = self._applied_by_holder_id.get(message.holder_id, 0)
        self._applied_by_holder_id[message.holder_id] = max(known, message.epoch)
        self._refresh(now_ms)

    def on_epoch_query(self, *, now_ms: int) -> share_messages.ShareEpochApplied:
        """Return the latest epoch whose shares this VM keeps to."""
        if all(one.is_within(now_ms=now_ms) for one in self._limit_by_key.values()):
            self._kept_epoch = self.epoch.number
        return share_messages.ShareEpochApplied(
            holder_id=self._holder.holder_id, epoch=self._kept_epoch
        )

    def on_request(
        self, peer_id: str, message: share_messages.ShareRequest, *, now_ms: int
    ) -> share_messages.ShareGrant:
        """Lend units, if there are any to spare; see `ShareLimit.on_request`."""
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
        """Take in borrowed units and return whether they count."""
        limit = self._limit_by_key.get(message.limit_key)
        return limit is not None and limit.on_grant(peer_id, message, now_ms=now_ms)

    def on_return(self, peer_id: str, message: share_messages.ShareReturn) -> None:
        """Take back lent units."""
        limit = self._limit_by_key.get(message.limit_key)
        if limit is not None:
            limit.on_return(peer_id, message)

    def tick(self, *, now_ms: int) -> tuple[ShareAction, ...]:
        """Return the messages that are due."""
        self._refresh(now_ms)
        done: list[ShareAction] = []
        for limit in self._limit_by_key.values():
            done += limit.tick(now_ms=now_ms)
        if len(self._epochs) > 1 and now_ms >= self._next_query_ms:
            self._next_query_ms = now_ms + QUERY_INTERVAL_MS
            done += self._queries()
        return tuple(done)

    def _wait_for_loans(self, now_ms: int) -> None:
        """Wait until loans of a holder that ended have ended too."""
        holds_ms = (one.hold_ms for one in self._limit_by_key.values())
        longest_ms = self._config.loan_ms + max(holds_ms, default=0)
        until_ms = now_ms + share_loans.lender_ms(longest_ms)
        self._open_until_ms = max(self._open_until_ms, until_ms)

    def _lagging(self) -> tuple[share_epoch.ShareHolder, ...]:
        earlier = {
            one.holder_id for epoch in self._epochs[:-1] for one in epoch.holders
        }
        is_known = self._unknown_before < self._epochs[0].number
        return tuple(
            one
            for one in self.epoch.holders
            if one != self._holder
            and (one.holder_id in earlier or not is_known)
            and self._applied_by_holder_id.get(one.holder_id, 0) < self.epoch.number
        )

    def _refresh(self, now_ms: int) -> None:
        if len(self._epochs) == 1:
            return
        if now_ms < self._open_until_ms or self._lagging():
            return
        del self._epochs[:-1]
        for limit in self._limit_by_key.values():
            limit.settle()

    def _queries(self) -> tuple[AskForEpoch, ...]:
        lagging = self._lagging()
        if not lagging:
            return ()
        start = self._query_cursor % len(lagging)
        self._query_cursor += MAX_QUERIES
        asked = (lagging[start:] + lagging[:start])[:MAX_QUERIES]
        query = share_messages.ShareEpochQuery(epoch=self.epoch.number)
        return tuple(AskForEpoch(to=one.vm_id, message=query) for one in asked)
