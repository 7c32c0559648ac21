from foxtailbank import records
from foxtailbank.idle_claims import idle_claim_releases
from foxtailbank.ledger import Ledger
from ledger_entries import (
    call,
    claim,
    complete,
    envelope,
    job,
    release_items,
    results,
)


def test_only_idle_claims_of_this_incarnation_are_released():
    ledger = Ledger()
    entries = (
        job(counts=(6, 6), idempotent=False),
        claim((0, 4)),
        claim((4, 2), claimant="b"),
        claim((0, 6), chunk=1),
        results((0, 1)),
        call(key="idle"),
        call(key="running"),
        call(key="done"),
        complete(key="done"),
        call("b", key="other"),
    )
    ledger.apply(0, envelope(1, *entries))
    running = {("j1", 0): 0b10, ("j1", 1): 0b111111}
    found = idle_claim_releases(
        ledger=ledger,
        incarnation="a",
        running_calls={("mwangaza", "running")},
        running_item_bitmap=lambda job_id, chunk: running[job_id, chunk],
    )
    assert list(found) == [
        records.CallReleased(owner="mwangaza", key="idle", claimant="a"),
        release_items((2, 2)),
    ]
