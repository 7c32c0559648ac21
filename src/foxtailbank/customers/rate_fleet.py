"""Which VM grants a customer's permits, and which share of its limit it may grant."""

import bisect
import dataclasses
import typing as t

from foxtailbank import rendezvous

SAMPLE_SIZE = 6  # VMs that are asked at a time whether they are in touch
# A VM that is out of touch for longer no longer keeps its part of the limits.
KEPT_MS = 600_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Contact:
    """What is known of another VM.

    Attributes
    ----------
    vm_id : str
        The VM.
    incarnation : int
        Its process; 0 while it is not known.
    heard_ms : int
        When it was last heard, or, before that, its address was read.
    silence_ms : int
        Time without a report after which it counts as lost.
    late_ms : int
        Time without a report after which a report is missing.
    """

    vm_id: str
    incarnation: int = 0
    heard_ms: int
    silence_ms: int
    late_ms: int


class RateFleet:
    """Tracks which VMs may grant permits.

    Parameters
    ----------
    vm_id : str
        This VM.

    Attributes
    ----------
    is_ready : bool
        Whether the other VMs are known.
    is_stopping : bool
        Whether this VM is shutting down.
    """

    def __init__(self, *, vm_id: str) -> None:
        self._vm_id = vm_id
        self._contact_by_id: dict[str, Contact] = {}
        self._reachable_ids: frozenset[str] = frozenset((vm_id,))
        self._passed_over_ms_by_id: dict[str, int] = {}
        self._granting_vm_by_customer: dict[str, str] = {}
        self._share = 1.0
        self._sample_ids: tuple[str, ...] = ()
        self._sampled_ms = 0
        self._sampled_share = 1.0
        self.is_stopping = False
        self._stopping_incarnation_by_id: dict[str, int] = {}
        self.is_ready = False

    def update(self, contacts: t.Iterable[Contact], now_ms: int) -> None:
        """Set what is known of the other VMs that are not shutting down."""
        known = self._contact_by_id
        self._contact_by_id = {
            contact.vm_id: _latest(contact, known.get(contact.vm_id))
            for contact in contacts
            if now_ms - contact.heard_ms < KEPT_MS
        }
        self._apply(now_ms)
        self.is_ready = True

    def stop(self, now_ms: int) -> None:
        """Leave granting to the others, if there are any."""
        self.is_stopping = True
        self._apply(now_ms)

    def on_heard(self, vm_id: str, now_ms: int) -> None:
        """Record that a known VM sent something just now."""
        contact = self._contact_by_id.get(vm_id)
        if contact is None:
            return
        heard = dataclasses.replace(contact, heard_ms=now_ms)
        self._contact_by_id[vm_id] = heard
        if vm_id not in self._reachable_ids:
            self._apply(now_ms)

    def on_stopping(self, vm_id: str, incarnation: int, now_ms: int) -> None:
        """Record that a process of another VM is shutting down."""
        if self._stopping_incarnation_by_id.get(vm_id) != incarnation:
            self._stopping_incarnation_by_id[vm_id] = incarnation
            self._apply(now_ms)

    def pass_over(self, vm_id: str, now_ms: int) -> None:
        """Grant and ask without a VM that does not answer, until it is heard again."""
        if vm_id in self._reachable_ids:
            self._passed_over_ms_by_id[vm_id] = now_ms
            self._apply(now_ms)

    def passed_over_ids(self) -> tuple[str, ...]:
        """Return the VMs that are passed over."""
        return tuple(self._passed_over_ms_by_id)

    def is_reachable(self, vm_id: str) -> bool:
        """Return whether a VM can be asked for permits."""
        return vm_id in self._reachable_ids

    def granting_vm(self, customer: str) -> str:
        """Return the VM that grants a customer's permits."""
        vm_id = self.find_granting_vm(customer)
        self._granting_vm_by_customer[customer] = vm_id
        return vm_id

    def find_granting_vm(self, customer: str) -> str:
        """As `granting_vm`, without an effect."""
        known = self._granting_vm_by_customer.get(customer)
        return known or _first(customer, self._reachable_ids)

    def next_granting_vm(self, customer: str) -> str:
        """Return the VM that grants after this one; itself if there is no other."""
        others = self._reachable_ids - {self._vm_id}
        return _first(customer, others or self._reachable_ids)

    def share(self, customer: str) -> float:
        """Return the share of a customer's limit that this VM may grant.

        It is that of the VMs which are heard. In place of a VM that does not answer but
        has not been silent for long, this VM may be on one side of a cut: only VMs that
        were heard since then count.
        """
        own_score = rendezvous.score(customer, self._vm_id)
        replaced_ms = [
            passed_ms
            for vm_id, passed_ms in self._passed_over_ms_by_id.items()
            if rendezvous.score(customer, vm_id) > own_score
        ]
        if not replaced_ms:
            return min(self._share, self._sampled_share)
        first_ms = min(replaced_ms)
        heard = sum(c.heard_ms > first_ms for c in self._contact_by_id.values())
        return min(self._share, (heard + 1) / (len(self._contact_by_id) + 1))

    def next_sample(self, now_ms: int) -> tuple[str, ...]:
        """Return VMs to ask whether they are in touch; those before must have answered.

        Reports tell of a cut a second late. While a customer presses, that is too late.
        """
        self._evaluate_sample()
        ids = sorted(self._contact_by_id)
        last = self._sample_ids[-1] if self._sample_ids else ""
        first = bisect.bisect_right(ids, last)
        self._sample_ids = tuple((ids[first:] + ids[:first])[:SAMPLE_SIZE])
        self._sampled_ms = now_ms
        return self._sample_ids

    def end_samples(self) -> None:
        """Forget who was asked, as no customer presses."""
        self._sample_ids = ()
        self._sampled_share = 1.0

    def _evaluate_sample(self) -> None:
        known = [
            self._contact_by_id[vm_id]
            for vm_id in self._sample_ids
            if vm_id in self._contact_by_id
        ]
        heard = sum(contact.heard_ms >= self._sampled_ms for contact in known)
        self._sampled_share = (heard + 1) / (len(known) + 1)

    @property
    def guaranteed_share(self) -> float:
        """Share of one VM of all that are known."""
        return 1 / (len(self._contact_by_id) + 1)

    def heard_age_ms(self, vm_id: str, now_ms: int) -> int | None:
        """Return the time since a VM was heard; None if it is not known."""
        if vm_id == self._vm_id:
            return 0
        contact = self._contact_by_id.get(vm_id)
        return None if contact is None else now_ms - contact.heard_ms

    def _apply(self, now_ms: int) -> None:
        self._passed_over_ms_by_id = {
            vm_id: passed_ms
            for vm_id, passed_ms in self._passed_over_ms_by_id.items()
            if vm_id in self._contact_by_id
            and self._contact_by_id[vm_id].heard_ms <= passed_ms
            and self._is_heard(self._contact_by_id[vm_id], now_ms)
        }
        reachable = {
            vm_id
            for vm_id, contact in self._contact_by_id.items()
            if self._is_heard(contact, now_ms)
            and vm_id not in self._passed_over_ms_by_id
            and self._stopping_incarnation_by_id.get(vm_id) != contact.incarnation
        }
        if not reachable or not self.is_stopping:
            reachable.add(self._vm_id)
        reachable_ids = frozenset(reachable)
        self._update_granting(
            added=reachable_ids - self._reachable_ids,
            removed=self._reachable_ids - reachable_ids,
        )
        self._reachable_ids = reachable_ids
        on_time = sum(
            now_ms - contact.heard_ms < contact.late_ms
            for contact in self._contact_by_id.values()
        )
        self._share = (on_time + 1) / (len(self._contact_by_id) + 1)

    def _update_granting(
        self, *, added: frozenset[str], removed: frozenset[str]
    ) -> None:
        """Draw anew only where it matters: there may be many VMs and customers."""
        if not added and not removed:
            return
        self._granting_vm_by_customer = {
            customer: _first(customer, added | {vm_id})
            for customer, vm_id in self._granting_vm_by_customer.items()
            if vm_id not in removed
        }

    def _is_heard(self, contact: Contact, now_ms: int) -> bool:
        return now_ms - contact.heard_ms < contact.silence_ms


def _latest(contact: Contact, known: Contact | None) -> Contact:
    if known is None or known.heard_ms <= contact.heard_ms:
        return contact
    return dataclasses.replace(contact, heard_ms=known.heard_ms)


def _first(customer: str, vm_ids: t.Iterable[str]) -> str:
    """Return the VM that comes first for a customer."""
    return max(vm_ids, key=lambda vm_id: rendezvous.score(customer, vm_id))
