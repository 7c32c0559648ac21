"""Stateful test of the load table against a model that recomputes the sums."""

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from foxtailbank.fleet.load_table import (
    NO_LOAD,
    LoadKind,
    LoadTable,
    PeerLoad,
    WorkerLoad,
)

WORKERS = ("w1", "w2", "w3")
TIMEOUT_MS = 1_500
MAX_ROUNDING_MS = 0.001
VMS = ("vm1", "vm2", "vm3")
loads = st.builds(WorkerLoad, online=st.integers(0, 9), batch=st.integers(0, 9)).filter(
    lambda load: load.total
)
load_maps = st.dictionaries(st.sampled_from(WORKERS), loads)


class LoadTableMachine(RuleBasedStateMachine):
    """Own requests, reports of peers and expiry in any order."""

    def __init__(self):
        super().__init__()
        self.table = LoadTable()
        self.now_ms = 0
        self.own = []
        self.reports = {}
        self.received_ms = {}

    @rule(worker=st.sampled_from(WORKERS), kind=st.sampled_from(LoadKind))
    def start(self, worker, kind):
        self.table.start(worker, kind)
        self.own.append((worker, kind))

    @rule(data=st.data())
    def end(self, data):
        if not self.own:
            return
        request = self.own.pop(data.draw(st.integers(0, len(self.own) - 1)))
        self.table.end(*request)

    @rule(vm=st.sampled_from(VMS), load_by_worker=load_maps)
    def report(self, vm, load_by_worker):
        peer = PeerLoad(vm_id=vm, incarnation=1, load_by_worker=load_by_worker)
        self.table.on_report(peer, self.now_ms)
        self.reports[vm] = load_by_worker
        self.received_ms[vm] = self.now_ms

    @rule(span_ms=st.integers(0, TIMEOUT_MS))
    def wait(self, span_ms):
        self.now_ms += span_ms
        silent = {
            vm
            for vm, received_ms in self.received_ms.items()
            if self.now_ms - received_ms > TIMEOUT_MS
        }
        assert set(self.table.expire(self.now_ms, TIMEOUT_MS)) == silent
        for vm in silent:
            del self.reports[vm]
            del self.received_ms[vm]

    @invariant()
    def totals_match_the_model(self):
        for worker in WORKERS:
            expected = self._sum(worker)
            assert self.table.total(worker) == expected
            assert self.table.count(worker) == expected.total

    @invariant()
    def the_mean_age_matches_the_model(self):
        ages_ms = [self.now_ms - self.received_ms[vm] for vm in self.reports]
        expected_ms = sum(ages_ms) / len(ages_ms) if ages_ms else 0
        age_ms = self.table.mean_report_age_ms(self.now_ms)
        assert abs(age_ms - expected_ms) < MAX_ROUNDING_MS

    def _sum(self, worker):
        rows = [load.get(worker, NO_LOAD) for load in self.reports.values()]
        online = sum(row.online for row in rows)
        batch = sum(row.batch for row in rows)
        online += self.own.count((worker, LoadKind.ONLINE))
        batch += self.own.count((worker, LoadKind.BATCH))
        return WorkerLoad(online=online, batch=batch)


LoadTableMachine.TestCase.settings = settings(max_examples=60, deadline=None)
TestLoadTable = LoadTableMachine.TestCase
