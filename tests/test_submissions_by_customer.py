"""Submissions belong to customers: ids, waiting tokens, runs and take-over."""

import msgspec
import pytest

from foxtailbank.exceptions import InvalidRequest
from foxtailbank.keyed_log import KeyedRecord, LogSlice
from foxtailbank.submissions.ledger import Effect, Ledger
from foxtailbank.submissions.records import (
    Ended,
    Submitted,
    TakenOver,
    decode,
    encode,
    key_segment,
)
from foxtailbank.submissions.scoped_id import SEPARATOR, scoped_id
from foxtailbank.submissions.submission_table import SubmissionTable
from item_vm import ItemVm, success
from serving_fakes import make_logs
from test_submission_ledger import item_ended, make_submitted

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


def submitted(customer, submission_id="s1", *, items=("a", "b"), **changes):
    record = make_submitted(scoped_id(submission_id, customer=customer), items=items)
    return msgspec.structs.replace(record, customer=customer, **changes)


# Guards against a customer that reads or ends what is another's, or learns that it is
# there, by a choice of names and ids.
def test_ids_of_two_customers_never_meet():
    names = ("", "a", "b", "a/b", "a→b", "#a", "ä")
    ids = ("1", "b/1", "a1", "#1", "x" * 100)
    stored = [scoped_id(i, customer=name) for name in names for i in ids]
    assert len(set(stored)) == len(stored)
    assert len(set(map(key_segment, stored))) == len(stored)
    assert [scoped_id(i, customer="") for i in ids] == list(ids)
    with pytest.raises(InvalidRequest):
        scoped_id(f"a{SEPARATOR}1", customer="")


ACME, BEE = submitted("acme"), submitted("bee")
ACME_ID = scoped_id("s1", customer="acme")


# Guards against a customer whose waiting tokens another one uses up, and against
# tokens that are counted twice when a submission comes again.
@pytest.mark.parametrize(
    ("first", "second", "effect", "waiting"),
    [
        # Each customer has its limit; the last is over its own.
        (submitted("acme", items="abcdef"), BEE, Effect.ACCEPTED, (60, 20, 0)),
        (submitted("", items="abcdef"), ACME, Effect.ACCEPTED, (20, 0, 60)),
        (ACME, submitted("acme", "s2", route="r2"), Effect.ACCEPTED, (20, 0, 0)),
        (
            submitted("acme", items="abcde"),
            submitted("acme", "s2"),
            Effect.TOO_MANY_TOKENS,
            (50, 0, 0),
        ),
        (ACME, submitted("acme", attempt="2"), Effect.NONE, (20, 0, 0)),
        (ACME, Ended(submission_id=ACME_ID), Effect.ENDED, (0, 0, 0)),
        (ACME, Ended(submission_id="s1"), Effect.NONE, (20, 0, 0)),
        (ACME, item_ended(ACME_ID, "a"), Effect.ITEM_ENDED, (10, 0, 0)),
    ],
)
def test_waiting_tokens_are_counted_by_customer(first, second, effect, waiting):
    ledger = Ledger()
    assert ledger.apply(first) is Effect.ACCEPTED
    assert ledger.apply(second) is effect
    names = ("acme", "bee", "")
    assert tuple(ledger.waiting_tokens("r", name) for name in names) == waiting


# Guards against records that builds before or after this one can't read.
def test_records_of_other_builds_are_read():
    class OldSubmitted(
        msgspec.Struct, frozen=True, kw_only=True, tag="submitted", rename=None
    ):
        submission_id: str
        attempt: str
        route: str
        host: str
        target: str
        arrived_wall_ms: int
        waiting_limit: int
        owner: str
        items: tuple
        piece_count: int = 0

    new = submitted("acme")
    assert isinstance(decode(encode(new, key_suffix="1").value), Submitted)
    fields = {
        name: getattr(new, name)
        for name in OldSubmitted.__struct_fields__
        if name != "items"
    }
    old = msgspec.msgpack.encode(OldSubmitted(items=new.items, **fields))
    assert (decode(old).customer, decode(old).is_public) == ("", False)
    stored = encode(new, key_suffix="1").value
    assert msgspec.msgpack.decode(stored, type=OldSubmitted).owner == new.owner


# Guards against a customer that is lost when a VM restores the log, or drops it.
def test_a_replay_keeps_and_forgets_customers():
    stored_id = scoped_id("s1", customer="acme")
    records = [
        encode(submitted("acme"), key_suffix="1"),
        encode(
            TakenOver(submission_id=stored_id, generation=1, owner="vm2/1"),
            key_suffix="2",
        ),
    ]
    table = SubmissionTable(logs=make_logs())
    table.restore(LogSlice(records=tuple(records), end=2))
    kept = table.ledger.get(stored_id)
    assert (kept.customer, kept.owner) == ("acme", "vm2/1")
    drops = tuple(KeyedRecord(key=record.key, value=b"") for record in records)
    table.apply_records(LogSlice(records=drops, end=4))
    assert table.ledger.get(stored_id) is None
    assert table.ledger.waiting_tokens("r", "acme") == 0


# Guards against items that run for nobody, or not at all, after a take-over by a VM
# whose configuration does not hold their customer any more.
@pytest.mark.parametrize("customer", ["acme", ""])
async def test_items_run_for_their_customer_after_a_take_over(customer):
    vm = ItemVm(success())
    calls = []
    exchange = vm.client.exchange

    def record(worker, call, **options):
        calls.append(call)
        return exchange(worker, call, **options)

    vm.client.exchange = record
    stored_id = scoped_id("s1", customer=customer)
    first = submitted(customer, items=("a",), target="/p/x", owner="vm0/1")
    vm.table.ledger.apply(first)
    vm.table.ledger.apply(
        TakenOver(submission_id=stored_id, generation=1, owner="vm1/1")
    )
    async with vm.running():
        await vm.send_all()
    assert [call.customer_name for call in calls] == [customer]
    assert (calls[0].identity is None) == (not customer)
