"""Cost of the catalogue at the size two years on; prints JSON lines.

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
from foxtailbank.catalogue_state import CatalogueState, read_snapshot, take_snapshot
from foxtailbank.entry import Entry, Kind, WorkClass, key_hash

CUSTOMERS = 470
ENTRIES = 3_000
EDITS_PER_DAY = 3_100
LOOKUPS = 200_000
US_PER_S = 1_000_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Figure:
    """One measured figure.

    Attributes
    ----------
    name : str
        What was measured.
    value : float
        The figure.
    unit : str
        Its unit.
    """

    name: str
    value: float
    unit: str


def main() -> int:
    """Measure and print."""
    for figure in measure():
        print(msgspec.json.encode(figure).decode())
    return 0


def measure() -> t.Iterator[Figure]:
    """Yield the cost of replay, lookups, snapshots and memory."""
    records = [encode_envelope(_put(number)) for number in range(ENTRIES)]
    size = sum(len(record) for record in records)
    yield Figure(name="record", value=size / ENTRIES, unit="bytes")
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    catalogue = Catalogue()
    _replay(catalogue, records)
    _replay(catalogue, _replacements(catalogue))
    gc.collect()
    held = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    yield Figure(name="memory", value=held / 2**20, unit="MiB")
    yield from _measure_edits(records)
    yield from _measure_lookups(catalogue)
    yield from _measure_snapshot(catalogue)


def _entry(number: int, *, revision: int = 0) -> Entry:
    owner = f"customer-{number % CUSTOMERS}"
    return Entry(
        name=f"entry-{number}",
        owner=owner,
        work_class=WorkClass.BATCH if number % 2 else WorkClass.ONLINE,
        kind=Kind.ENGINE,
        pool=f"model-{number % 3}",
        model=f"model-{number % 3}-{revision}",
        key_hashes=(key_hash(owner), key_hash(f"{owner}-second")),
    )


def _put(number: int, *, based_on: int = 0, revision: int = 0) -> CatalogueEnvelope:
    entry = _entry(number, revision=revision)
    edit = EntryPut(
        name=entry.name, entry=entry, based_on=based_on, edit_id=f"edit-{number}"
    )
    return CatalogueEnvelope(
        schema=SCHEMA,
        incarnation="vm-1",
        sequence=number + ENTRIES * revision,
        entries=(edit,),
    )


def _replacements(catalogue: Catalogue) -> list[bytes]:
    envelopes = []
    for number in range(ENTRIES):
        based_on = catalogue.version(f"entry-{number}")
        envelopes.append(_put(number, based_on=based_on, revision=1))
    return [encode_envelope(envelope) for envelope in envelopes]


def _replay(catalogue: Catalogue, records: list[bytes]) -> None:
    first = catalogue.applied_offset + 1
    for offset, data in enumerate(records, start=first):
        catalogue.apply(offset, decode_envelope(data))


def _measure_edits(records: list[bytes]) -> t.Iterator[Figure]:
    catalogue = Catalogue()
    started = time.process_time()
    _replay(catalogue, records)
    used = time.process_time() - started
    yield Figure(
        name="replay_one_edit", value=used / ENTRIES * US_PER_S, unit="us of processor"
    )
    edits = _replacements(catalogue)
    started = time.process_time()
    _replay(catalogue, edits)
    used = time.process_time() - started
    per_edit = used / ENTRIES
    yield Figure(
        name="replace_one_entry", value=per_edit * US_PER_S, unit="us of processor"
    )
    yield Figure(
        name="edits_of_a_day", value=per_edit * EDITS_PER_DAY, unit="s of processor"
    )


def _measure_lookups(catalogue: Catalogue) -> t.Iterator[Figure]:
    hashed = key_hash("customer-7")
    started = time.process_time()
    for _ in range(LOOKUPS):
        catalogue.entry_for_model(key_hash=hashed, model="model-1-1")
    used = time.process_time() - started
    yield Figure(name="lookup", value=used / LOOKUPS * US_PER_S, unit="us of processor")
    started = time.process_time()
    for _ in range(LOOKUPS):
        key_hash("a key of a usual length, 40 characters..")
    used = time.process_time() - started
    yield Figure(
        name="hash_key", value=used / LOOKUPS * US_PER_S, unit="us of processor"
    )


def _measure_snapshot(catalogue: Catalogue) -> t.Iterator[Figure]:
    started = time.process_time()
    snapshot = take_snapshot(catalogue.state())
    used = time.process_time() - started
    yield Figure(name="take_snapshot", value=used * 1000, unit="ms of processor")
    size = len(bytes(snapshot.content))
    yield Figure(name="snapshot", value=size / 2**20, unit="MiB")
    started = time.process_time()
    state = read_snapshot(snapshot)
    assert isinstance(state, CatalogueState)
    restored = Catalogue()
    restored.restore(state)
    used = time.process_time() - started
    yield Figure(name="restore_snapshot", value=used * 1000, unit="ms of processor")


if __name__ == "__main__":
    sys.exit(main())
