"""VMs that follow one log from a hostile store, while faults happen to them."""

import dataclasses
import random

from answer_oracle import AnswerOracle
from platform_hostile_store import PathState, Store
from position_vm import WALL_RATE, PositionVm
from simulated_processes import ProcessSchedule

NAME_GROUP_S = 4  # for which callers submit under the same ids
NAMES_PER_GROUP = 5
READ_GROUPS = 4
RECENT_SHARE = 0.7  # of reads, which ask for what was read elsewhere just now


@dataclasses.dataclass(frozen=True, kw_only=True)
class FaultPlan:
    """What happens to VMs: how often a second, and the weight of each kind.

    The first VM has no faults but short pauses: it reads early what the others may not
    miss later.
    """

    per_s: float = 2.0
    paths: float = 1.5
    path_states: tuple[PathState, ...] = tuple(PathState)
    pauses: float = 1.0
    restarts: float = 0.3
    truncations: float = 0.3
    starved: float = 0.3
    takeovers: float = 1.0
    clock_pauses: float = 0.0005  # for each reading of a clock


class PositionFleet:
    """VMs over one store, with faults drawn from a seed."""

    def __init__(self, seed, faults, vm_count=4):
        self.rng = random.Random(seed)
        self.faults = faults
        self.schedule = ProcessSchedule(on_step=self._on_step)
        self.store = Store(self.schedule)
        self.oracle = AnswerOracle(WALL_RATE)
        self._incarnation = 0
        self.vms = [self._start(f"vm{number}") for number in range(vm_count)]
        self._plan_fault()

    def _start(self, vm_id):
        self._incarnation += 1
        return PositionVm(self, vm_id, self._incarnation)

    def _on_step(self, process):
        for vm in self.vms:
            if vm.process is process:
                vm.check_age()

    def names(self, groups=READ_GROUPS):
        """Return the ids that callers use now; they change every few seconds."""
        newest = int(self.schedule.now_s // NAME_GROUP_S)
        return [
            f"s{group}.{number}"
            for group in range(max(0, newest - groups + 1), newest + 1)
            for number in range(NAMES_PER_GROUP)
        ]

    def next_read(self, rng):
        """Return a submission and a position: mostly one that was read just now."""
        recent = self.oracle.recent_reads
        if recent and rng.random() < RECENT_SHARE:
            return rng.choice(recent)
        submission_id = rng.choice(self.names())
        count = 0
        while (submission_id, count) in self.oracle.first_read_s:
            count += 1
        return submission_id, max(0, count - rng.randint(0, 2))

    def run(self, duration_s):
        self.schedule.run(duration_s)

    def close(self):
        self.schedule.close()

    def _plan_fault(self):
        delay_s = self.rng.expovariate(self.faults.per_s)
        self.schedule.at(self.schedule.now_s + delay_s, self._make_fault)

    def _make_fault(self):
        self._plan_fault()
        faults = self.faults
        kinds = {
            self._change_path: faults.paths,
            self._pause: faults.pauses,
            self._restart: faults.restarts,
            self._truncate: faults.truncations,
            self._starve: faults.starved,
            self._take_over: faults.takeovers,
        }
        (kind,) = self.rng.choices(list(kinds), list(kinds.values()))
        kind()

    def _faulty_vm(self):
        return self.rng.choice(self.vms[1:])

    def _change_path(self):
        vm = self._faulty_vm()
        vm.path.state = self.rng.choice(self.faults.path_states)
        self.store.page_size = self.rng.randint(3, 200)
        self.store.max_read_bytes = self.rng.choice((300, 1_500, 20_000))
        self.store.ignored_poll_count += self.rng.randint(0, 3)
        calm_s = self.schedule.now_s + self.rng.uniform(0.2, 4.0)
        self.schedule.at(calm_s, lambda: setattr(vm.path, "state", PathState.CALM))

    def _pause(self):
        self._faulty_vm().process.pause(self.rng.uniform(0.1, 3.0))

    def _restart(self):
        number = self.rng.randrange(1, len(self.vms))
        old = self.vms[number]
        old.process.kill()
        self.schedule.processes.remove(old.process)
        self.vms[number] = self._start(old.vm_id)
        self.rng.choice(self.vms).take_over(old.owner_id)

    def _truncate(self):
        self.store.truncate(self.rng.randint(0, 30))

    def _starve(self):
        process = self._faulty_vm().process
        process.step_s = self.rng.choice((0.002, 0.01, 0.05))
        end_s = self.schedule.now_s + self.rng.uniform(0.5, 3.0)
        self.schedule.at(end_s, lambda: setattr(process, "step_s", 0.0))

    def _take_over(self):
        first, second = self.rng.sample(self.vms, 2)
        first.take_over(second.owner_id)
