"""Limits of a catalogue entry in the form that admission takes."""

from foxtailbank.admission import LimitShare
from foxtailbank.entry import EntryLimits

MILLI = 1_000


def share_of(limits: EntryLimits) -> LimitShare:
    """Return an entry's limits as one share.

    Parameters
    ----------
    limits : EntryLimits
        Limits for the whole fleet.
    """
    return LimitShare(
        requests_milli_per_s=round(limits.requests_per_s * MILLI),
        requests_burst=max(1, round(limits.requests_per_s)),
        tokens_milli_per_s=round(limits.tokens_per_s * MILLI),
        tokens_burst=max(limits.max_tokens, round(limits.tokens_per_s)),
        concurrency=limits.concurrency,
    )
