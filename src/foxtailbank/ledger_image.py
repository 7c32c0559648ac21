"""Copies of parts of the ledger's state, in the form that snapshots hold."""

import msgspec

from foxtailbank.item_set import ItemRange
from foxtailbank.records import JobAccepted, Snapshot


class PartialImage(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A chunk that several records have a part in."""

    chunk: int
    done: tuple[ItemRange, ...]
    unknown: tuple[ItemRange, ...]
    claimed: list[tuple[str, tuple[ItemRange, ...]]]
    won: list[tuple[int, tuple[ItemRange, ...]]]


class JobImage(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A job that has not been retired."""

    accepted: JobAccepted
    accepted_offset: int
    status: str
    ended_count: int
    failed_count: int
    whole_results: list[int]
    partials: list[PartialImage]


class RetiredImage(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A job that has been retired."""

    job_id: str
    owner: str
    entry: str
    key: str
    digest: str
    status: str
    item_count: int
    failed_count: int
    manifest_offset: int
    accepted_offset: int
    oldest_offset: int


class CallImage(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A keyed call."""

    owner: str
    key: str
    digest: str
    claimant: str
    claimed_offset: int
    at_ms: int
    status: int
    payload_offset: int


class FenceImage(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Who may give orders in a scope."""

    scope: str
    holder: str
    number: int
    lease_ms: int


class HeadImage(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What there is only one of.

    Attributes
    ----------
    next_offset : int
        Offset after the last record applied.
    sequences : list of (str, int)
        Last sequence by incarnation, least recently seen first.
    job_count, retired_count, call_count : int
        Numbers of images that follow.
    """

    next_offset: int
    sequences: list[tuple[str, int]]
    fences: list[FenceImage]
    snapshot: Snapshot | None
    job_count: int
    retired_count: int
    call_count: int


class PartImage(msgspec.Struct, kw_only=True, array_like=True):
    """One part of a snapshot."""

    schema: int
    head: HeadImage | None = None
    jobs: list[JobImage] = []
    retired: list[RetiredImage] = []
    calls: list[CallImage] = []
