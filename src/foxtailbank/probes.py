"""Probes that wait for an answer."""

import dataclasses

from foxtailbank import peer_messages as pm


@dataclasses.dataclass(kw_only=True)
class Probe:
    """One question to a VM.

    Attributes
    ----------
    target : MemberRecord
        Who was asked; its id is empty if only the address is known.
    sent_ms : int
        When.
    due_ms : int
        When the next step is due if no answer comes.
    is_indirect : bool
        Whether other VMs were asked to probe the target too.
    relay_for : Heartbeat or None
        Request of another VM that this probe answers.
    sequences : list of int
        Datagrams whose acknowledgement proves the target alive.
    """

    target: pm.MemberRecord
    sent_ms: int
    due_ms: int
    is_indirect: bool = False
    relay_for: pm.Heartbeat | None = None
    sequences: list[int] = dataclasses.field(default_factory=list)


class ProbeTable:
    """Open probes by the sequence of each datagram that asks."""

    def __init__(self) -> None:
        self._probe_by_sequence: dict[int, Probe] = {}

    def add(self, probe: Probe, *, sequence: int) -> None:
        """Note that a datagram asks for a probe's answer."""
        probe.sequences.append(sequence)
        self._probe_by_sequence[sequence] = probe

    def find(self, sequence: int) -> Probe | None:
        """Return the probe that a datagram belongs to."""
        return self._probe_by_sequence.get(sequence)

    def close(self, probe: Probe) -> None:
        """Forget a probe."""
        for sequence in probe.sequences:
            self._probe_by_sequence.pop(sequence, None)

    def clear(self) -> None:
        """Forget all probes."""
        self._probe_by_sequence.clear()

    def due(self, *, now_ms: int) -> tuple[Probe, ...]:
        """Return probes whose next step is due."""
        found = {id(one): one for one in self._probe_by_sequence.values()}
        return tuple(one for one in found.values() if one.due_ms <= now_ms)

    def next_due_ms(self) -> int | None:
        """Return when the next step is due; None without open probes."""
        return min(
            (one.due_ms for one in self._probe_by_sequence.values()), default=None
        )
