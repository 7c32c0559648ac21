"""Cells: groups of VMs of one availability zone that share some of its workers.

Meant for a zone with so many entry VMs that each change of the load can't be told to
all of them. The VMs of a cell tell each other at once, as in a small fleet, and use
the workers of their cell first. All VMs that know the same VMs form the same cells.
"""

import dataclasses
import math
import typing as t

import xxhash

from foxtailbank.fleet.report_intervals import SMALL_GROUP
from foxtailbank.fleet.worker import Worker

CELL_VMS = SMALL_GROUP + 1  # at most; a cell is as large as a small fleet


@dataclasses.dataclass(frozen=True, kw_only=True)
class Cell:
    """One of the cells of a zone.

    Attributes
    ----------
    index : int
        Its number, from 0 on.
    count : int
        Number of cells of the zone.
    vm_ids : frozenset of str
        Its VMs.
    """

    index: int
    count: int
    vm_ids: frozenset[str]


def find_cell(vm_id: str, zone_vm_ids: t.Iterable[str]) -> Cell:
    """Return the cell of a VM; a zone of few VMs is one cell.

    Parameters
    ----------
    vm_id : str
        The VM.
    zone_vm_ids : iterable of str
        The VMs of its zone, with or without itself.
    """
    ordered = sorted({vm_id, *zone_vm_ids}, key=_order)
    count = 1
    if len(ordered) - 1 > SMALL_GROUP:
        count = math.ceil(len(ordered) / CELL_VMS)
    index = ordered.index(vm_id) * count // len(ordered)
    members = _part(ordered, index, count)
    return Cell(index=index, count=count, vm_ids=frozenset(members))


def workers_of(cell: Cell, zone_workers: t.Iterable[Worker]) -> tuple[Worker, ...]:
    """Return the workers that a cell uses first.

    Parameters
    ----------
    cell : Cell
        The cell.
    zone_workers : iterable of Worker
        Workers of one service in the cell's zone. If they are fewer than the cells,
        some cells share one.
    """
    ordered = sorted(zone_workers, key=lambda worker: _order(worker.worker_id))
    if not ordered:
        return ()
    if len(ordered) < cell.count:
        return (ordered[cell.index * len(ordered) // cell.count],)
    return tuple(_part(ordered, cell.index, cell.count))


_Item = t.TypeVar("_Item")


def _part(ordered: t.Sequence[_Item], index: int, count: int) -> t.Sequence[_Item]:
    """Return the items whose position falls into one of equal parts."""
    size = len(ordered)
    begin = math.ceil(index * size / count)
    end = math.ceil((index + 1) * size / count)
    return ordered[begin:end]


def _order(name: str) -> int:
    """Return a key that spreads names which were given in turn."""
    return xxhash.xxh64_intdigest(name)
