"""Sample burn report of two customers, with one unreachable VM."""

import math

from foxtailbank.burn_classify import GOOD, EventClass, Verdict
from foxtailbank.burn_merge import BurnReport, merge_burn
from foxtailbank.burn_recorder import BurnRecorder
from foxtailbank.burn_window import MINUTE_MS
from foxtailbank.entry import Entry, EntryKind, Objective, WorkClass, key_hash

NOW_MS = 1_800_000_000_000
STEP_MS = 5 * MINUTE_MS
_ENTRIES = (
    ("tributes", "mwangaza", "online", "engine", 0.95, 0.01, 0.0),
    ("notices", "mwangaza", "batch", "engine", 0.99, 0.002, 0.0),
    ("bookings", "mwangaza", "online", "service", 0.999, 0.004, 0.0),
    ("clauses", "vatnsdaelur", "online", "engine", 0.95, 0.02, 0.75),
    ("renewals", "vatnsdaelur", "batch", "engine", 0.9, 0.03, 0.3),
    ("contracts", "vatnsdaelur", "online", "service", 0.99, 0.0, 0.0),
)


def sample_entries() -> dict[str, Entry]:
    entries = {}
    for name, owner, work_class, kind, good_share, _, _ in _ENTRIES:
        entries[name] = Entry(
            name=name,
            owner=owner,
            work_class=WorkClass(work_class),
            kind=EntryKind(kind),
            pool="wordsmith",
            model="wordsmith" if kind == "engine" else "",
            key_hashes=(key_hash(owner),),
            objective=Objective(good_share=good_share),
        )
    return entries


def sample_report() -> BurnReport:
    reports = []
    for vm in ("entry-a1", "entry-b1"):
        recorder = BurnRecorder(vm=vm, zone="nairobi-a")
        for step in range(96, -1, -1):
            _add_step(recorder, step)
        reports.append(recorder.report(now_ms=NOW_MS))
    return merge_burn(
        reports,
        entries_by_name=sample_entries() | _entry_without_events(),
        live_vms=("entry-a1", "entry-b1", "entry-c1"),
        now_ms=NOW_MS,
    )


def _entry_without_events() -> dict[str, Entry]:
    entry = sample_entries()["contracts"]
    return {"archive": Entry(**(vars(entry) | {"name": "archive"}))}


def _add_step(recorder: BurnRecorder, step: int) -> None:
    at_ms = NOW_MS - step * STEP_MS
    for name, _, _, _, _, base_share, burst_share in _ENTRIES:
        variation = 1 + 0.6 * math.sin(step / 5)
        share = base_share * variation + (burst_share if step < 13 else 0.0)
        bad = round(200 * share)
        for number in range(200):
            reason = "overloaded" if number % 3 else "slow_first_token"
            verdict = Verdict(event_class=EventClass.BAD, reason=reason)
            is_bad = number < bad
            recorder.add(entry=name, verdict=verdict if is_bad else GOOD, now_ms=at_ms)
