"""Use of the platform stand-in."""

import msgspec


class StreamStats(msgspec.Struct, kw_only=True, frozen=True):
    """Use of one stream so far.

    Attributes
    ----------
    appends : int
        Records appended.
    bytes : int
        Their content, in bytes.
    reads : int
        Reads that were answered.
    """

    appends: int
    bytes: int
    reads: int


class PlatformStats(msgspec.Struct, kw_only=True, frozen=True):
    """Use of the platform so far.

    Attributes
    ----------
    streams : mapping of str to StreamStats
        Use of the log, by stream.
    vm_list_reads : int
        Reads of the VM list.
    weight_reads : int
        Reads of weights that were begun.
    """

    streams: dict[str, StreamStats]
    vm_list_reads: int
    weight_reads: int
