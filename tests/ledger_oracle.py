"""Reference model of the ledger: simple, item by item, not optimised."""

import copy

from foxtailbank.item_set import bitmap_positions

NO_RESPONSE = (0, -1)


def positions_in(ranges):
    return [p for run in ranges for p in range(run.first, run.first + run.count)]


class Oracle:
    """Reference state machine that keeps a copy of its state for every offset."""

    def __init__(self):
        self.seen = set()
        self.state = {"jobs": {}, "keys": {}, "calls": {}, "fences": {}, "covers": -1}
        self.state["floor"] = 0
        self.states = [copy.deepcopy(self.state)]

    def apply(self, offset, envelope):
        if envelope and (envelope.incarnation, envelope.sequence) not in self.seen:
            self.seen.add((envelope.incarnation, envelope.sequence))
            for entry in envelope.entries:
                getattr(self, type(entry).__name__)(offset, entry)
        self.states.append(copy.deepcopy(self.state))

    def JobAccepted(self, offset, e):  # noqa: N802
        keyed = e.key and (e.owner, e.key) in self.state["keys"]
        if keyed or e.job_id in self.state["jobs"]:
            return
        if not self._is_retained(*(c.payload_offset for c in e.chunks)):
            return
        if e.key:
            self.state["keys"][e.owner, e.key] = e.job_id
        self.state["jobs"][e.job_id] = {
            "digest": e.digest,
            "status": "running",
            "at": offset,
            "idempotent": e.idempotent,
            "inputs": [c.payload_offset for c in e.chunks],
            "open": {(i, p) for i, c in enumerate(e.chunks) for p in range(c.count)},
            "results": {},
            "failed": set(),
            "unknown": set(),
            "claims": {},
            "manifest": None,
        }

    def _running_job(self, job_id):
        job = self.state["jobs"].get(job_id)
        return job if job and job["status"] == "running" else None

    def _end_item(self, job, item):
        job["open"].discard(item)
        job["claims"].pop(item, None)
        if not job["open"]:
            job["status"] = "finished"

    def JobCancelled(self, offset, e):  # noqa: N802
        if job := self._running_job(e.job_id):
            job["status"] = "cancelled"

    def ItemsClaimed(self, offset, e):  # noqa: N802
        job = self._running_job(e.job_id)
        for position in positions_in(e.items) if job and not job["idempotent"] else ():
            if (e.chunk, position) in job["open"]:
                job["claims"].setdefault((e.chunk, position), e.claimant)

    def ItemsReleased(self, offset, e):  # noqa: N802
        job = self._running_job(e.job_id)
        for position in positions_in(e.items) if job else ():
            if job["claims"].get((e.chunk, position)) == e.claimant:
                del job["claims"][e.chunk, position]

    def ClaimsAbandoned(self, offset, e):  # noqa: N802
        job = self._running_job(e.job_id)
        for position in positions_in(e.items) if job else ():
            if job["claims"].get((e.chunk, position)) == e.claimant:
                job["unknown"].add((e.chunk, position))
                job["failed"].add((e.chunk, position))
                self._end_item(job, (e.chunk, position))

    def ChunkResults(self, offset, e):  # noqa: N802
        job = self._running_job(e.job_id)
        for position in positions_in(e.items) if job else ():
            item = (e.chunk, position)
            allowed = job["idempotent"] or job["claims"].get(item) == e.claimant
            if item in job["open"] and allowed and self._is_retained(e.payload_offset):
                job["results"][item] = e.payload_offset
                if position in positions_in(e.failed):
                    job["failed"].add(item)
                self._end_item(job, item)

    def JobRetired(self, offset, e):  # noqa: N802
        job = self.state["jobs"].get(e.job_id)
        retirable = job and job["status"] != "running" and job["manifest"] is None
        if retirable and self._is_retained(e.manifest_offset):
            job["manifest"] = e.manifest_offset

    def ManifestMoved(self, offset, e):  # noqa: N802
        job = self.state["jobs"].get(e.job_id)
        kept = self._is_retained(e.to_offset, e.oldest_offset)
        if job and job["manifest"] == e.from_offset and kept:
            job["manifest"] = e.to_offset

    def PayloadMoved(self, offset, e):  # noqa: N802
        if job := self._running_job(e.job_id):
            to = {move.from_offset: move.to_offset for move in e.moves}
            if not self._is_retained(*to.values(), self.state["floor"]):
                return
            job["inputs"] = [to.get(at, at) for at in job["inputs"]]
            job["results"] = {i: to.get(at, at) for i, at in job["results"].items()}

    def CallClaimed(self, offset, e):  # noqa: N802
        call = self.state["calls"].get((e.owner, e.key))
        if call is None or (not call["claimant"] and call["digest"] == e.digest):
            self.state["calls"][e.owner, e.key] = {
                "digest": e.digest,
                "claimant": e.claimant,
                "at": offset,
                "response": NO_RESPONSE,
            }

    def _claimed_call(self, e):
        call = self.state["calls"].get((e.owner, e.key))
        held = (
            call and call["claimant"] == e.claimant and call["response"] == NO_RESPONSE
        )
        return call if held else None

    def CallReleased(self, offset, e):  # noqa: N802
        if call := self._claimed_call(e):
            call["claimant"] = ""

    def CallCompleted(self, offset, e):  # noqa: N802
        call = self._claimed_call(e)
        if call and self._is_retained(e.payload_offset):
            call["response"] = (e.status, e.payload_offset)

    def FenceTaken(self, offset, e):  # noqa: N802
        number = self.state["fences"].get(e.scope, (0,))[0]
        self.state["fences"][e.scope] = (max(number, offset) + 1, e.holder)

    def HistoryExpired(self, offset, e):  # noqa: N802
        calls, jobs = self.state["calls"], self.state["jobs"]
        for key in [k for k, c in calls.items() if c["at"] < e.before_offset]:
            del calls[key]
        old = [
            job_id
            for job_id, job in jobs.items()
            if job["manifest"] is not None and job["at"] < e.before_offset
        ]
        for job_id in old:
            del jobs[job_id]
        keys = self.state["keys"].items()
        self.state["keys"] = {k: v for k, v in keys if v not in old}

    def PayloadFloorRaised(self, offset, e):  # noqa: N802
        self.state["floor"] = max(self.state["floor"], e.before_offset)

    def _is_retained(self, *offsets):
        return min(offsets) >= self.state["floor"]

    def Snapshot(self, offset, e):  # noqa: N802
        self.state["covers"] = max(self.state["covers"], e.covers_offset)


RETIRED_FIELDS = {"digest", "status", "at", "manifest"}


def without_retired_details(state):
    """Drop details that the ledger does not keep for retired jobs."""
    jobs = {}
    for job_id, job in state["jobs"].items():
        kept = job if job["manifest"] is None else {n: job[n] for n in RETIRED_FIELDS}
        jobs[job_id] = kept | {"failed": len(job["failed"])}
    return state | {"jobs": jobs}


def ledger_view(ledger):
    """Return a ledger's state in the form of `without_retired_details`."""
    jobs = {job.job_id: _job_view(job) for job in ledger.jobs_by_id.values()}
    for job in ledger.retired_by_id.values():
        jobs[job.job_id] = {
            "digest": job.digest,
            "status": job.status.value,
            "at": job.accepted_offset,
            "manifest": job.manifest_offset,
            "failed": job.failed_count,
        }
    calls = {
        key: {
            "digest": call.digest,
            "claimant": call.claimant,
            "at": call.claimed_offset,
            "response": (call.status, call.payload_offset),
        }
        for key, call in ledger.calls.calls_by_key.items()
    }
    fences = ledger.fences_by_scope.items()
    return {
        "jobs": jobs,
        "keys": dict(ledger.jobs.job_ids_by_key),
        "calls": calls,
        "fences": {scope: (f.number, f.holder) for scope, f in fences},
        "floor": ledger.payload_floor.before_offset,
        "covers": ledger.snapshot.covers_offset if ledger.snapshot else -1,
    }


def _job_view(job):
    results, open_, unknown, claims = {}, set(), set(), {}
    for index in range(job.chunk_count):
        for part in job.results(index):
            for position in positions_in(part.items):
                assert (index, position) not in results
                results[index, position] = part.payload_offset
        done = job.ended_bitmap(index)
        everything = range(job.chunk(index).count)
        open_ |= {(index, p) for p in everything if not done >> p & 1}
        unknown |= {(index, p) for p in bitmap_positions(job.unknown_bitmap(index))}
        for claimant, held in job.claimed_by_claimant(index).items():
            claims |= {(index, p): claimant for p in bitmap_positions(held)}
    assert job.ended_count == job.item_count - len(open_)
    return {
        "digest": job.digest,
        "status": job.status.value,
        "at": job.accepted_offset,
        "idempotent": job.idempotent,
        "inputs": [job.chunk(i).payload_offset for i in range(job.chunk_count)],
        "open": open_,
        "results": results,
        "failed": job.failed_count,
        "unknown": unknown,
        "claims": claims,
        "manifest": None,
    }
