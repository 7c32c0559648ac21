"""Replay protection for datagrams."""

import dataclasses
import enum

WINDOW_DATAGRAMS = 128
MAX_SENDERS = 2048


class ReplayVerdict(enum.Enum):
    """Result of the replay check of a datagram."""

    FRESH = "fresh"
    REPLAYED = "replayed"
    OLD_INCARNATION = "old_incarnation"


@dataclasses.dataclass(kw_only=True)
class _SenderWindow:
    incarnation: int
    highest: int
    seen_bits: int


class ReplayGuard:
    """Tracks the sequence numbers received from each sender.

    A sliding window accepts datagrams that arrive out of order. At most
    `MAX_SENDERS` windows are kept; the least recently used is evicted.
    """

    def __init__(self) -> None:
        self._window_by_vm_id: dict[str, _SenderWindow] = {}

    def check_and_record(
        self, *, vm_id: str, incarnation: int, sequence: int
    ) -> ReplayVerdict:
        """Record a datagram and return whether it is new.

        Parameters
        ----------
        vm_id : str
            Authenticated sender.
        incarnation : int
            Incarnation of the sender.
        sequence : int
            Sequence number of the datagram within the incarnation.

        Returns
        -------
        Verdict
            ``FRESH`` at most once for each sequence number.
        """
        window = self._window_by_vm_id.pop(vm_id, None)
        if window is None or incarnation > window.incarnation:
            window = _SenderWindow(
                incarnation=incarnation, highest=sequence, seen_bits=1
            )
            verdict = ReplayVerdict.FRESH
        elif incarnation < window.incarnation:
            verdict = ReplayVerdict.OLD_INCARNATION
        else:
            verdict = _record(window, sequence)
        self._window_by_vm_id[vm_id] = window
        if len(self._window_by_vm_id) > MAX_SENDERS:
            del self._window_by_vm_id[next(iter(self._window_by_vm_id))]
        return verdict


def _record(window: _SenderWindow, sequence: int) -> ReplayVerdict:
    ahead = sequence - window.highest
    if ahead > 0:
        window.seen_bits = ((window.seen_bits << min(ahead, WINDOW_DATAGRAMS)) | 1) & (
            (1 << WINDOW_DATAGRAMS) - 1
        )
        window.highest = sequence
        return ReplayVerdict.FRESH
    bit = 1 << -ahead
    if -ahead >= WINDOW_DATAGRAMS or window.seen_bits & bit:
        return ReplayVerdict.REPLAYED
    window.seen_bits |= bit
    return ReplayVerdict.FRESH
