"""Measures the catalogue at the size expected in two years; prints JSON lines.

Run with ``python -m foxtailbank_bench.measure_catalogue``.
"""

import dataclasses
import gc
import sys
import time
import tracemalloc
import typing as t

import msgspec

from foxtailbank.catalogue import Catalogue
from foxtailbank.catalogue_records import (
    SCHEMA,
    CatalogueEnvelope,
    EntryPut,
    decode_envelope,
    encode_envelope,
)
from foxtailbank.catalogue_state import CatalogueState, decode_snapshot, encode_snapshot
from foxtailbank.entry import Entry, EntryKind, WorkClass, key_hash

CUSTOMER_COUNT = 470
ENTRY_COUNT = 3_000
EDITS_PER_DAY = 3_100
LOOKUP_COUNT = 200_000
US_PER_S = 1_000_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Measurement:
    """One line of output.

    Attributes
    ----------
    name : str
        What was measured.
    value : float
        Measured value.
    unit : str
        Unit of the value.
    """

    name: str
    value: float
    unit: str


def main() -> int:
    """Run all measurements and print one JSON line each."""
    for measurement in measure():
        print(msgspec.json.encode(measurement).decode())
    return 0


def measure() -> t.Iterator[Measurement]:
    """Yield record size, memory in use, and cost of edits, lookups and snapshots."""
    records = [encode_envelope(_put_envelope(number)) for number in range(ENTRY_COUNT)]
    size_bytes = sum(len(record) for record in records)
    yield Measurement(name="record", value=size_bytes / ENTRY_COUNT, unit="bytes")
    tracemalloc.start()
    before_bytes = tracemalloc.get_traced_memory()[0]
    catalogue = Catalogue()
    _replay(catalogue, records)
    _replay(catalogue, _replacement_records(catalogue))
    gc.collect()
    held_bytes = tracemalloc.get_traced_memory()[0] - before_bytes
    tracemalloc.stop()
    yield Measurement(name="memory", value=held_bytes / 2**20, unit="MiB")
    yield from _measure_edits(records)
    yield from _measure_lookups(catalogue)
    yield from _measure_snapshot(catalogue)


def _entry(number: int, *, revision: int = 0) -> Entry:
    owner = f"customer-{number % CUSTOMER_COUNT}"
    return Entry(
        name=f"entry-{number}",
        owner=owner,
        work_class=WorkClass.BATCH if number % 2 else WorkClass.ONLINE,
        kind=EntryKind.ENGINE,
        pool=f"model-{number % 3}",
        model=f"model-{number % 3}-{revision}",
        key_hashes=(key_hash(owner), key_hash(f"{owner}-second")),
    )


def _put_envelope(
    number: int, *, based_on: int = 0, revision: int = 0
) -> CatalogueEnvelope:
    entry = _entry(number, revision=revision)
    edit = EntryPut(
        name=entry.name, entry=entry, based_on=based_on, edit_id=f"edit-{number}"
    )
    return CatalogueEnvelope(
        schema=SCHEMA,
        incarnation="vm-1",
        sequence=number + ENTRY_COUNT * revision,
        entries=(edit,),
    )


def _replacement_records(catalogue: Catalogue) -> list[bytes]:
    envelopes = []
    for number in range(ENTRY_COUNT):
        based_on = catalogue.version(f"entry-{number}")
        envelopes.append(_put_envelope(number, based_on=based_on, revision=1))
    return [encode_envelope(envelope) for envelope in envelopes]


def _replay(catalogue: Catalogue, records: list[bytes]) -> None:
    first_offset = catalogue.applied_offset + 1
    for offset, data in enumerate(records, start=first_offset):
        catalogue.apply(offset, decode_envelope(data))


def _measure_edits(records: list[bytes]) -> t.Iterator[Measurement]:
    catalogue = Catalogue()
    started_s = time.process_time()
    _replay(catalogue, records)
    used_s = time.process_time() - started_s
    yield Measurement(
        name="replay_one_edit",
        value=used_s / ENTRY_COUNT * US_PER_S,
        unit="us of processor",
    )
    replacements = _replacement_records(catalogue)
    started_s = time.process_time()
    _replay(catalogue, replacements)
    used_s = time.process_time() - started_s
    per_edit_s = used_s / ENTRY_COUNT
    yield Measurement(
        name="replace_one_entry", value=per_edit_s * US_PER_S, unit="us of processor"
    )
    yield Measurement(
        name="edits_of_a_day", value=per_edit_s * EDITS_PER_DAY, unit="s of processor"
    )


def _measure_lookups(catalogue: Catalogue) -> t.Iterator[Measurement]:
    hashed_key = key_hash("customer-7")
    started_s = time.process_time()
    for _ in range(LOOKUP_COUNT):
        catalogue.entry_for_model(key_hash=hashed_key, model="model-1-1")
    used_s = time.process_time() - started_s
    yield Measurement(
        name="lookup", value=used_s / LOOKUP_COUNT * US_PER_S, unit="us of processor"
    )
    started_s = time.process_time()
    for _ in range(LOOKUP_COUNT):
        key_hash("a key of a usual length, 40 characters..")
    used_s = time.process_time() - started_s
    yield Measurement(
        name="hash_key", value=used_s / LOOKUP_COUNT * US_PER_S, unit="us of processor"
    )


def _measure_snapshot(catalogue: Catalogue) -> t.Iterator[Measurement]:
    started_s = time.process_time()
    snapshot = encode_snapshot(catalogue.state())
    used_s = time.process_time() - started_s
    yield Measurement(name="take_snapshot", value=used_s * 1000, unit="ms of processor")
    size_bytes = len(bytes(snapshot.content))
    yield Measurement(name="snapshot", value=size_bytes / 2**20, unit="MiB")
    started_s = time.process_time()
    state = decode_snapshot(snapshot)
    assert isinstance(state, CatalogueState)
    restored = Catalogue()
    restored.restore(state)
    used_s = time.process_time() - started_s
    yield Measurement(
        name="restore_snapshot", value=used_s * 1000, unit="ms of processor"
    )


if __name__ == "__main__":
    sys.exit(main())
