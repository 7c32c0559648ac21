"""Usage counters of the platform stand-in."""

import msgspec


class StreamStats(msgspec.Struct, kw_only=True, frozen=True):
    """Usage counters of one stream.

    Attributes
    ----------
    appends : int
        Records appended.
    bytes : int
        Total size of the appended records, in bytes.
    reads : int
        Successful reads.
    """

    appends: int
    bytes: int
    reads: int


class PlatformStats(msgspec.Struct, kw_only=True, frozen=True):
    """Usage counters of the platform.

    Attributes
    ----------
    streams : mapping of str to StreamStats
        Counters of the log, by stream.
    vm_list_reads : int
        Reads of the VM list, including failed ones.
    weight_reads : int
        Weight reads started.
    """

    streams: dict[str, StreamStats]
    vm_list_reads: int
    weight_reads: int
