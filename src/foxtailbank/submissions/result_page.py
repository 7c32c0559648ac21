"""Pages of results that callers read."""

import dataclasses

from foxtailbank.submissions.records import ItemEnded
from foxtailbank.submissions.submission import Submission

RESULT_OVERHEAD_BYTES = 200  # of a result in a page, beside its text
MAX_PAGE_BYTES = 900_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class ResultPage:
    """Results of a submission from a position onwards.

    Attributes
    ----------
    total : int
        Number of items of the submission.
    next_position : int
        Position where the next page starts.
    results : tuple of ItemEnded
        Results in the order of their positions.
    known_count : int
        Number of results of the submission in the state that the page is from.
    """

    total: int
    next_position: int
    results: tuple[ItemEnded, ...]
    known_count: int

    @property
    def is_last_known(self) -> bool:
        """Whether it ends with the last known result although items remain."""
        return self.known_count <= self.next_position < self.total


def page_from(submission: Submission, position: int) -> ResultPage:
    """Return the page that begins at a position."""
    chosen: list[ItemEnded] = []
    size = 0
    for result in submission.results[position:]:
        size += len(result.text.encode()) + RESULT_OVERHEAD_BYTES
        if chosen and size > MAX_PAGE_BYTES:
            break
        chosen.append(result)
    return ResultPage(
        total=len(submission.items_by_id),
        next_position=position + len(chosen),
        results=tuple(chosen),
        known_count=len(submission.results),
    )
