"""Rejection of datagrams that were seen before."""

import dataclasses
import enum

WINDOW = 128
MAX_SENDERS = 2048


class Verdict(enum.Enum):
    """What to do with a datagram."""

    FRESH = "fresh"
    REPLAYED = "replayed"
    OLD_INCARNATION = "old_incarnation"


@dataclasses.dataclass(kw_only=True)
class _Sender:
    incarnation: int
    highest: int
    seen: int


class ReplayGuard:
    """Sequence numbers seen, by sender; a sliding window allows reordering."""

    def __init__(self) -> None:
        self._sender_by_vm_id: dict[str, _Sender] = {}

    def check(self, *, vm_id: str, incarnation: int, sequence: int) -> Verdict:
        """Note a datagram and return what to do with it.

        Parameters
        ----------
        vm_id : str
            Authenticated sender.
        incarnation : int
            Its incarnation.
        sequence : int
            Number of the datagram within the incarnation.

        Returns
        -------
        Verdict
            ``FRESH`` for each number once.
        """
        sender = self._sender_by_vm_id.pop(vm_id, None)
        if sender is None or incarnation > sender.incarnation:
            sender = _Sender(incarnation=incarnation, highest=sequence, seen=1)
            verdict = Verdict.FRESH
        elif incarnation < sender.incarnation:
            verdict = Verdict.OLD_INCARNATION
        else:
            verdict = _note(sender, sequence)
        self._sender_by_vm_id[vm_id] = sender
        if len(self._sender_by_vm_id) > MAX_SENDERS:
            del self._sender_by_vm_id[next(iter(self._sender_by_vm_id))]
        return verdict


def _note(sender: _Sender, sequence: int) -> Verdict:
    ahead = sequence - sender.highest
    if ahead > 0:
        sender.seen = ((sender.seen << min(ahead, WINDOW)) | 1) & ((1 << WINDOW) - 1)
        sender.highest = sequence
        return Verdict.FRESH
    bit = 1 << -ahead
    if -ahead >= WINDOW or sender.seen & bit:
        return Verdict.REPLAYED
    sender.seen |= bit
    return Verdict.FRESH
