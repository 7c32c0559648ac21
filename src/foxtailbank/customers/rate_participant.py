"""One VM's part in the rate limits of all customers: it asks, grants and hands over."""

import typing as t

from foxtailbank.customers.rate_asker import PermitAsker, message_numbers
from foxtailbank.customers.rate_bucket import (
    NO_GRANT,
    PERMIT_LIFE_MS,
    GrantKey,
    RateBucket,
)
from foxtailbank.customers.rate_fleet import Contact, RateFleet
from foxtailbank.customers.rate_limit import RateLimit
from foxtailbank.customers.rate_messages import (
    BucketTransfer,
    PermitAnswer,
    PermitRequest,
    RateMessage,
)
from foxtailbank.customers.rate_permits import Permit
from foxtailbank.customers.rate_wait import Outcome, PermitWait, RateOutlook

TICK_MS = 200
# A VM that was suspended does not know what others granted meanwhile.
GAP_MS = 1_000
RESUME_MS = 50  # until it has read what came meanwhile
# In the first bucket of a customer in the life of a process, so that a restart of all
# VMs does not refuse the next request of everyone.
START_PERMITS = 3
PROBE_CUSTOMER = "?"  # where no customer is meant
PROBE_MS = 250  # a VM that has not answered for so long is passed over


class RateSender(t.Protocol):
    """Sends a message to another VM."""

    def __call__(self, vm_id: str, message: RateMessage) -> None:
        """Send a message; it may be lost."""


class RateParticipant:
    """Decides on the requests of limited customers, together with the other VMs.

    Parameters
    ----------
    vm_id : str
        This VM.
    incarnation : int
        This process.
    limits : callable
        Returns the limits by the names of the customers that have one.
    send : RateSender
        Sends a message to another VM.

    Attributes
    ----------
    fleet : RateFleet
        Which VM grants.
    """

    def __init__(
        self,
        *,
        vm_id: str,
        incarnation: int,
        limits: t.Callable[[], t.Mapping[str, RateLimit]],
        send: RateSender,
    ) -> None:
        self.fleet = RateFleet(vm_id=vm_id)
        self._vm_id = vm_id
        self._incarnation = incarnation
        self._limits = limits
        self._send = send
        self._numbers = message_numbers()
        self._asker_by_customer: dict[str, PermitAsker] = {}
        self._bucket_by_customer: dict[str, RateBucket] = {}
        self._started_customers: set[str] = set()
        self._probed_ms_by_vm: dict[str, int] = {}
        # Process and number of the newest transfer.
        self._transfer_by_vm: dict[str, tuple[int, int]] = {}
        self._seen_ms: int | None = None
        self._gap_ms: int | None = None

    @property
    def tick_ms(self) -> int:
        """When `tick` must be called next, in milliseconds from now."""
        return TICK_MS if self.fleet.is_ready else RESUME_MS

    def request(self, customer: str, limit: RateLimit, now_ms: int) -> PermitWait:
        """Decide on a client request of a limited customer, at once if possible."""
        self._notice_gap(now_ms)
        return self._asker(customer, limit).request(now_ms)

    def outlook(self, customer: str, now_ms: int) -> RateOutlook:
        """Return how the customer's next request would be decided on; no effect."""
        asker = self._asker_by_customer.get(customer)
        outcome = asker.outlook(now_ms) if asker is not None else None
        if asker is None and not self.fleet.is_ready:
            outcome = Outcome.STARTING
        granting_vm = self.fleet.find_granting_vm(customer)
        in_bucket: int | None = None
        wait_ms = 0
        if granting_vm == self._vm_id:
            bucket = self._bucket_by_customer.get(customer)
            is_first = customer not in self._started_customers
            in_bucket = START_PERMITS if is_first else 0
            if bucket is not None:
                in_bucket = bucket.available(now_ms)
                wait_ms = bucket.wait_ms(now_ms)
            if outcome is None:
                outcome = Outcome.GRANTED if in_bucket else Outcome.LIMIT
        return RateOutlook(
            outcome=outcome,
            granting_vm=granting_vm,
            in_stock=asker.permit_count(now_ms) if asker is not None else 0,
            in_bucket=in_bucket,
            wait_ms=wait_ms if outcome is Outcome.LIMIT else 0,
            answer_age_ms=self.answer_age_ms(customer, now_ms),
        )

    def cancel(self, customer: str, wait: PermitWait, now_ms: int) -> None:
        """Forget a client request whose sender has left."""
        asker = self._asker_by_customer.get(customer)
        if asker is not None:
            asker.cancel(wait, now_ms)

    def give_back(self, permit: Permit, now_ms: int) -> None:
        """Take back the permit of a request that did not run."""
        bucket = self._bucket_by_customer.get(permit.customer)
        if permit.granting_vm == self._vm_id and bucket is not None:
            key = self._own_key(permit.number)
            bucket.give_back(key, 1, now_ms)
            return
        asker = self._asker_by_customer.get(permit.customer)
        if asker is not None:
            asker.give_back(permit, now_ms)

    def due_ms(self, customer: str) -> int | None:
        """Return when `on_time` must be called for a customer; None for never."""
        asker = self._asker_by_customer.get(customer)
        return None if asker is None else asker.due_ms

    def on_time(self, customer: str, now_ms: int) -> None:
        """Repeat or give up what a customer's requests wait for."""
        asker = self._asker_by_customer.get(customer)
        if asker is not None:
            asker.on_time(now_ms)

    def answer_age_ms(self, customer: str, now_ms: int) -> int | None:
        """Return the age of the newest answer about a customer; None for none."""
        asker = self._asker_by_customer.get(customer)
        if asker is None or asker.answered_ms is None:
            return None
        return now_ms - asker.answered_ms

    def tick(self, contacts: t.Iterable[Contact], now_ms: int) -> None:
        """Apply what is known of the other VMs; to be called every `tick_ms`."""
        self._notice_gap(now_ms)
        if self._gap_ms is not None and now_ms - self._gap_ms < RESUME_MS:
            return
        self.fleet.update(contacts, now_ms)
        for vm_id, probed_ms in list(self._probed_ms_by_vm.items()):
            if now_ms - probed_ms >= PROBE_MS:
                del self._probed_ms_by_vm[vm_id]
                self.fleet.pass_over(vm_id, now_ms)
        for customer, asker in list(self._asker_by_customer.items()):
            asker.on_time(now_ms)
            if asker.is_idle and customer not in self._limits():
                del self._asker_by_customer[customer]
        self._update_buckets(now_ms)
        for vm_id in self.fleet.passed_over_ids():
            self._probe(vm_id, PROBE_CUSTOMER, now_ms)
        self._sample(now_ms)

    def stop(self, now_ms: int) -> None:
        """Hand all buckets over, as this VM is shutting down."""
        self.fleet.stop(now_ms)
        for customer in list(self._bucket_by_customer):
            self._hand_over(customer, now_ms)

    def on_message(self, message: RateMessage, now_ms: int) -> None:
        """Apply a message of a known VM."""
        self._notice_gap(now_ms)
        self.fleet.on_heard(message.vm_id, now_ms)
        self._probed_ms_by_vm.pop(message.vm_id, None)
        match message:
            case PermitRequest():
                answer = self._answer(message, now_ms)
                if answer is not None:
                    self._send(message.vm_id, answer)
            case PermitAnswer():
                if message.stopping:
                    self._on_stopping(message, now_ms)
                asker = self._asker_by_customer.get(message.customer)
                if asker is not None:
                    asker.on_answer(message, now_ms)
            case BucketTransfer():
                if message.stopping:
                    self._on_stopping(message, now_ms)
                self._on_transfer(message, now_ms)

    def _on_stopping(self, message: PermitAnswer | BucketTransfer, now_ms: int) -> None:
        self.fleet.on_stopping(message.vm_id, message.incarnation, now_ms)

    def _asker(self, customer: str, limit: RateLimit) -> PermitAsker:
        asker = self._asker_by_customer.get(customer)
        if asker is None:
            asker = self._asker_by_customer[customer] = PermitAsker(
                customer=customer,
                vm_id=self._vm_id,
                incarnation=self._incarnation,
                limit=limit,
                fleet=self.fleet,
                numbers=self._numbers,
                send=self._ask,
            )
        asker.limit = limit
        return asker

    def _ask(self, vm_id: str, request: PermitRequest, now_ms: int) -> None:
        if vm_id != self._vm_id:
            self._send(vm_id, request)
            return
        answer = self._answer(request, now_ms)
        if answer is not None:
            self._asker_by_customer[request.customer].on_answer(answer, now_ms)

    def _answer(self, request: PermitRequest, now_ms: int) -> PermitAnswer | None:
        """Return the answer; None, as from a lost VM, until the others are known."""
        if not self.fleet.is_ready:
            return None
        granting_vm = self.fleet.granting_vm(request.customer)
        is_own = granting_vm == self._vm_id
        limit = self._limits().get(request.customer)
        grant = NO_GRANT
        if not is_own:
            self._hand_over(request.customer, now_ms)
            if request.needed:
                self._probe(granting_vm, request.customer, now_ms)
        elif limit is not None and request.wanted:
            bucket = self._bucket(request.customer, limit, now_ms)
            grant = bucket.grant(request, now_ms)
        return PermitAnswer(
            vm_id=self._vm_id,
            incarnation=self._incarnation,
            number=request.number,
            customer=request.customer,
            # An older or newer configuration here does not know the customer.
            granting_vm="" if is_own and limit is None else granting_vm,
            granted=grant.count,
            wait_ms=grant.wait_ms,
            life_ms=PERMIT_LIFE_MS,
            stopping=self.fleet.is_stopping,
        )

    def _bucket(self, customer: str, limit: RateLimit, now_ms: int) -> RateBucket:
        part = limit.part(self.fleet.share(customer))
        bucket = self._bucket_by_customer.get(customer)
        if bucket is not None:
            bucket.resize(part, now_ms)
            return bucket
        is_first = customer not in self._started_customers
        self._started_customers.add(customer)
        bucket = RateBucket(
            limit=part, permits=START_PERMITS if is_first else 0, now_ms=now_ms
        )
        self._bucket_by_customer[customer] = bucket
        # The VM that granted before notices by it, and hands its bucket over.
        self._probe(self.fleet.next_granting_vm(customer), customer, now_ms)
        return bucket

    def _update_buckets(self, now_ms: int) -> None:
        """Keep the buckets of the customers for which this VM grants, used or not."""
        limits = self._limits()
        for customer in list(self._bucket_by_customer):
            if customer not in limits:
                del self._bucket_by_customer[customer]
            elif self.fleet.granting_vm(customer) != self._vm_id:
                self._hand_over(customer, now_ms)
        for customer, limit in limits.items():
            if self.fleet.granting_vm(customer) == self._vm_id:
                self._bucket(customer, limit, now_ms)

    def _sample(self, now_ms: int) -> None:
        """Look for a cut while a customer takes all that there is."""
        buckets = self._bucket_by_customer.values()
        if not any(bucket.is_pressed for bucket in buckets):
            self.fleet.end_samples()
            return
        for bucket in buckets:
            bucket.is_pressed = False
        for vm_id in self.fleet.next_sample(now_ms):
            self._send_probe(vm_id, PROBE_CUSTOMER)

    def _probe(self, vm_id: str, customer: str, now_ms: int) -> None:
        if vm_id == self._vm_id or vm_id in self._probed_ms_by_vm:
            return
        self._probed_ms_by_vm[vm_id] = now_ms
        self._send_probe(vm_id, customer)

    def _send_probe(self, vm_id: str, customer: str) -> None:
        probe = PermitRequest(
            vm_id=self._vm_id,
            incarnation=self._incarnation,
            number=next(self._numbers),
            customer=customer,
        )
        self._send(vm_id, probe)

    def _hand_over(self, customer: str, now_ms: int) -> None:
        bucket = self._bucket_by_customer.pop(customer, None)
        to = self.fleet.granting_vm(customer)
        permits = bucket.available(now_ms) if bucket is not None else 0
        is_told = bucket is not None and self.fleet.is_stopping
        if to == self._vm_id or not (permits or is_told):
            return
        transfer = BucketTransfer(
            vm_id=self._vm_id,
            incarnation=self._incarnation,
            number=next(self._numbers),
            customer=customer,
            permits=permits,
            stopping=self.fleet.is_stopping,
        )
        self._send(to, transfer)

    def _on_transfer(self, transfer: BucketTransfer, now_ms: int) -> None:
        """Take over a bucket; a repeated or old transfer is ignored."""
        newest = self._transfer_by_vm.get(transfer.vm_id, (0, 0))
        number = (transfer.incarnation, transfer.number)
        limit = self._limits().get(transfer.customer)
        if number <= newest or limit is None:
            return
        self._transfer_by_vm[transfer.vm_id] = number
        self._bucket(transfer.customer, limit, now_ms).put(transfer.permits, now_ms)

    def _own_key(self, number: int) -> GrantKey:
        return GrantKey(vm_id=self._vm_id, incarnation=self._incarnation, number=number)

    def _notice_gap(self, now_ms: int) -> None:
        """Drop all buckets if this VM was suspended."""
        seen_ms = self._seen_ms
        self._seen_ms = now_ms
        if seen_ms is not None and now_ms - seen_ms > GAP_MS:
            self._gap_ms = now_ms
            self._bucket_by_customer.clear()
            self.fleet.is_ready = False
