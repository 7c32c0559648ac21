import dataclasses

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from foxtailbank.isolation import Isolation
from foxtailbank.quarantine import EXCLUSIVE_WAIT_MS, Fingerprint, Quarantine
from foxtailbank.suspect_reservations import (
    Acknowledgement,
    Reservation,
    SuspectReservations,
)

BAD = Fingerprint(owner="x", digest="bad")
GOOD = [Fingerprint(owner="y", digest=f"good{n}") for n in range(2)]
VM_IDS = ("vm1", "vm2", "vm3")
ENDPOINTS = ("e0", "e1", "e2")
MAX_COPIES = 2
MAX_SPONTANEOUS_CRASHES = 1
NOW_MS = 0
PICK = st.integers(0, 1000)


@dataclasses.dataclass(kw_only=True, eq=False)
class Job:
    fingerprint: Fingerprint
    vm_id: str
    endpoint: str = ""
    isolation: Isolation = Isolation.NONE
    reservation: Reservation | None = None


class QuarantineMachine(RuleBasedStateMachine):
    """Several VMs, delayed messages, and a crash-inducing request sent in two copies.

    A VM retries or answers requests that a crash interrupted only after its reports
    have reached all VMs. One endpoint may crash on its own, but not during an exclusive
    run.
    """

    def __init__(self):
        super().__init__()
        self.quarantines = {vm_id: Quarantine() for vm_id in VM_IDS}
        self.reservations = {
            vm_id: SuspectReservations(vm_id=vm_id) for vm_id in VM_IDS
        }
        self.messages = []
        self.jobs = []
        self.incarnations = dict.fromkeys(ENDPOINTS, 0)
        self.crashes = 0
        self.spontaneous_crashes = 0

    def broadcast(self, sender, message):
        others = [vm_id for vm_id in VM_IDS if vm_id != sender]
        self.messages.extend((vm_id, message) for vm_id in others)

    def running(self, vm_id, endpoint):
        return [j for j in self.jobs if j.vm_id == vm_id and j.endpoint == endpoint]

    def has_pending_reports(self, job):
        return any(
            isinstance(message, tuple)
            and any(report.fingerprint == job.fingerprint for report in message)
            for _, message in self.messages
        )

    @rule(
        vm=st.sampled_from(VM_IDS),
        good=st.sampled_from(GOOD),
        endpoint=st.sampled_from(ENDPOINTS),
    )
    def submit_good(self, vm, good, endpoint):
        if len(self.jobs) < 8:
            self.jobs.append(Job(fingerprint=good, vm_id=vm))
            self.start(self.jobs[-1], endpoint, False)

    @rule(vm=st.sampled_from(VM_IDS))
    def submit_bad(self, vm):
        copies = [job for job in self.jobs if job.fingerprint == BAD]
        if len(copies) < MAX_COPIES:
            job = Job(fingerprint=BAD, vm_id=vm)
            if not self.has_pending_reports(job):
                self.jobs.append(job)

    @precondition(lambda self: any(not job.endpoint for job in self.jobs))
    @rule(pick=PICK, endpoint=st.sampled_from(ENDPOINTS), waited=st.booleans())
    def dispatch(self, pick, endpoint, waited):
        waiting = [job for job in self.jobs if not job.endpoint]
        self.start(waiting[pick % len(waiting)], endpoint, waited)

    @rule(
        vm=st.sampled_from(VM_IDS),
        endpoint=st.sampled_from(ENDPOINTS),
        wait=st.booleans(),
    )
    def resend_bad(self, vm, endpoint, wait):
        """Submit the bad request and advance each waiting copy by one step."""
        self.submit_bad(vm)
        for job in list(self.jobs):
            if job.fingerprint == BAD and not job.endpoint:
                self.start(job, endpoint, wait)

    @rule(endpoint=st.sampled_from(ENDPOINTS))
    def crash(self, endpoint):
        for job in list(self.jobs):
            if job.fingerprint == BAD and job.endpoint == endpoint:
                self.crashes += 1
                self.die(endpoint)
                return

    @rule()
    def finish_good(self):
        for job in list(self.jobs):
            if job.fingerprint != BAD and job.endpoint:
                self.finish_one(job)

    def start(self, job, endpoint, waited):
        if self.has_pending_reports(job):
            return
        waited_ms = EXCLUSIVE_WAIT_MS if waited else 0
        verdict = self.quarantines[job.vm_id].verdict(
            job.fingerprint, NOW_MS, waited_ms=waited_ms
        )
        if verdict.isolation is Isolation.REFUSED:
            assert job.fingerprint == BAD, "an innocent request was refused"
            self.end(job)
        elif verdict.isolation is Isolation.NONE:
            if not self.reservations[job.vm_id].is_reserved(endpoint, NOW_MS):
                job.endpoint = endpoint
                job.isolation = Isolation.NONE
        else:
            self.run_isolated(job, endpoint, verdict.isolation)

    def run_isolated(self, job, endpoint, isolation):
        exclusive = isolation is Isolation.EXCLUSIVE
        reservations = self.reservations[job.vm_id]
        current = job.reservation
        if current is not None and current.exclusive != exclusive:
            self.release(job)
        if job.reservation is None:
            job.reservation = reservations.announce(
                fingerprint=job.fingerprint,
                endpoint_id=endpoint,
                exclusive=exclusive,
                peers=[vm_id for vm_id in VM_IDS if vm_id != job.vm_id],
                now_ms=NOW_MS,
            )
            if job.reservation is not None:
                self.broadcast(job.vm_id, job.reservation)
            return
        target = job.reservation.endpoint_id
        if not reservations.is_held(job.reservation, NOW_MS):
            return
        if exclusive and self.running(job.vm_id, target):
            return
        job.endpoint = target
        job.isolation = isolation

    @precondition(lambda self: self.messages)
    @rule(pick=PICK)
    def deliver(self, pick):
        vm_id, message = self.messages.pop(pick % len(self.messages))
        reservations = self.reservations[vm_id]
        if isinstance(message, Reservation):
            for withdrawn in reservations.on_announced(message, NOW_MS):
                self.withdraw(vm_id, withdrawn)
        elif isinstance(message, Acknowledgement):
            reservations.on_acknowledged(message)
        elif isinstance(message, ReleaseMessage):
            reservations.release(message.reservation)
        else:
            self.apply_reports(vm_id, message)

    def withdraw(self, vm_id, reservation):
        for job in self.jobs:
            if job.reservation == reservation:
                job.reservation = None
        self.broadcast(vm_id, ReleaseMessage(reservation))

    def apply_reports(self, vm_id, reports):
        changed = self.quarantines[vm_id].merge(reports, NOW_MS)
        suspects = {report.fingerprint for report in changed if not report.cleared}
        for job in self.jobs:
            is_shared = job.vm_id == vm_id and job.isolation is Isolation.NONE
            if is_shared and job.fingerprint in suspects:
                job.endpoint = ""

    @rule(vm=st.sampled_from(VM_IDS))
    def acknowledge(self, vm):
        in_flight = {e: len(self.running(vm, e)) for e in ENDPOINTS}
        for acknowledgement in self.reservations[vm].acknowledgements(
            in_flight, NOW_MS
        ):
            self.messages.append((acknowledgement.reservation.vm_id, acknowledgement))

    @rule(rounds=st.integers(1, 4))
    def settle(self, rounds):
        for _ in range(rounds):
            for vm_id in VM_IDS:
                self.acknowledge(vm_id)
            for _ in range(len(self.messages)):
                self.deliver(0)

    @precondition(lambda self: any(job.endpoint for job in self.jobs))
    @rule(pick=PICK)
    def finish(self, pick):
        """End a running job; the bad one crashes its endpoint."""
        running = [job for job in self.jobs if job.endpoint]
        job = running[pick % len(running)]
        if job.fingerprint == BAD:
            self.crash(job.endpoint)
        else:
            self.finish_one(job)

    def finish_one(self, job):
        cleared = self.quarantines[job.vm_id].on_complete(job.fingerprint, NOW_MS)
        if cleared:
            self.broadcast(job.vm_id, cleared)
        self.end(job)

    @rule(endpoint=st.sampled_from(ENDPOINTS))
    def die_naturally(self, endpoint):
        on_endpoint = [job for job in self.jobs if job.endpoint == endpoint]
        exclusive = any(job.isolation is Isolation.EXCLUSIVE for job in on_endpoint)
        if self.spontaneous_crashes < MAX_SPONTANEOUS_CRASHES and not exclusive:
            self.spontaneous_crashes += 1
            self.die(endpoint)

    def die(self, endpoint):
        death_id = f"{endpoint}:{self.incarnations[endpoint]}"
        self.incarnations[endpoint] += 1
        for vm_id in VM_IDS:
            interrupted = self.running(vm_id, endpoint)
            if not interrupted:
                continue
            reports = self.quarantines[vm_id].on_crash(
                death_id=death_id,
                in_flight=[job.fingerprint for job in interrupted],
                exclusive=any(j.isolation is Isolation.EXCLUSIVE for j in interrupted),
                now_ms=NOW_MS,
            )
            self.broadcast(vm_id, reports)
            for job in interrupted:
                job.endpoint = ""
                job.isolation = Isolation.NONE
                self.release(job)

    def release(self, job):
        if job.reservation is not None:
            self.reservations[job.vm_id].release(job.reservation)
            self.broadcast(job.vm_id, ReleaseMessage(job.reservation))
            job.reservation = None

    def end(self, job):
        self.release(job)
        self.jobs.remove(job)

    @invariant()
    def at_most_three_endpoints_crash(self):
        assert self.crashes <= 3

    @invariant()
    def exclusive_runs_are_alone(self):
        for job in self.jobs:
            if job.endpoint and job.isolation is Isolation.EXCLUSIVE:
                on_endpoint = [j for j in self.jobs if j.endpoint == job.endpoint]
                assert on_endpoint == [job]


@dataclasses.dataclass(frozen=True)
class ReleaseMessage:
    reservation: Reservation


QuarantineMachine.TestCase.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=300,
    stateful_step_count=70,
    phases=[Phase.generate],
)
TestQuarantine = QuarantineMachine.TestCase
