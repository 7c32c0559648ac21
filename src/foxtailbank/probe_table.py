"""Open probes, which wait for an acknowledgement."""

import dataclasses

from foxtailbank import peer_messages as pm


@dataclasses.dataclass(kw_only=True)
class Probe:
    """One liveness probe of a VM.

    Attributes
    ----------
    target : MemberRecord
        The probed VM; its id is empty if only the address is known.
    sent_ms : int
        When it was sent, in milliseconds.
    due_ms : int
        When the next step is due without an answer, in milliseconds.
    is_indirect : bool
        Whether other VMs were asked to probe the target too.
    relay_for : Heartbeat or None
        Ping request of another VM on whose behalf this probe is sent.
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
    """Open probes by the sequence numbers of their datagrams."""

    def __init__(self) -> None:
        self._probe_by_sequence: dict[int, Probe] = {}

    def add(self, probe: Probe, *, sequence: int) -> None:
        """Add a datagram to a probe."""
        probe.sequences.append(sequence)
        self._probe_by_sequence[sequence] = probe

    def find(self, sequence: int) -> Probe | None:
        """Return the probe that a datagram belongs to."""
        return self._probe_by_sequence.get(sequence)

    def close(self, probe: Probe) -> None:
        """Remove a probe."""
        for sequence in probe.sequences:
            self._probe_by_sequence.pop(sequence, None)

    def clear(self) -> None:
        """Remove all probes."""
        self._probe_by_sequence.clear()

    def due_probes(self, *, now_ms: int) -> tuple[Probe, ...]:
        """Return probes whose next step is due."""
        found = {id(one): one for one in self._probe_by_sequence.values()}
        return tuple(one for one in found.values() if one.due_ms <= now_ms)

    def next_due_ms(self) -> int | None:
        """Return when the next step is due; None without open probes."""
        return min(
            (one.due_ms for one in self._probe_by_sequence.values()), default=None
        )
