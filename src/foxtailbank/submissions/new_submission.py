"""Submissions as they come from callers."""

import dataclasses

from foxtailbank.submissions.records import Item


@dataclasses.dataclass(frozen=True, kw_only=True)
class NewSubmission:
    """A submission received from a caller.

    Attributes
    ----------
    submission_id : str
        Id by which it is stored; see `scoped_id`.
    host, target : str
        Host and path of the request.
    items : tuple of Item
        Items to run.
    customer : str
        Name of the customer; empty for none.
    """

    submission_id: str
    host: str
    target: str
    items: tuple[Item, ...]
    customer: str = ""
