"""Pages of results that callers read."""

import abc
import dataclasses

from foxtailbank.submissions.records import ItemEnded, ItemEndedApart
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
    """

    total: int
    next_position: int
    results: tuple[ItemEnded, ...]


def page_from(submission: Submission, position: int) -> ResultPage:
    """Return the page that begins at a position; see `PageTexts` for its texts."""
    chosen: list[ItemEnded] = []
    size = 0
    for result in submission.results[position:]:
        size += _text_bytes(result) + RESULT_OVERHEAD_BYTES
        if chosen and size > MAX_PAGE_BYTES:
            break
        chosen.append(result)
    return ResultPage(
        total=len(submission.items_by_id),
        next_position=position + len(chosen),
        results=tuple(chosen),
    )


def _text_bytes(result: ItemEnded) -> int:
    if isinstance(result, ItemEndedApart):
        return result.text_at.size_bytes
    return len(result.text.encode())


def page_with_texts(page: ResultPage, texts_by_key: dict[str, str]) -> ResultPage:
    """Return a page with all texts, up to the first result whose text is missing.

    Parameters
    ----------
    page : ResultPage
        Results, some of which have their texts in the log of texts.
    texts_by_key : dict of str to str
        Texts that could be had, by their keys in that log.
    """
    results: list[ItemEnded] = []
    for result in page.results:
        if isinstance(result, ItemEndedApart):
            text = texts_by_key.get(result.text_at.key)
            if text is None:
                break
            result = ItemEnded(
                submission_id=result.submission_id,
                item_id=result.item_id,
                completed=result.completed,
                text=text,
            )
        results.append(result)
    missing_count = len(page.results) - len(results)
    return ResultPage(
        total=page.total,
        next_position=page.next_position - missing_count,
        results=tuple(results),
    )


class PageTexts(abc.ABC):
    """Completes pages by the texts that are not in the ledger."""

    @abc.abstractmethod
    async def fill(self, page: ResultPage, *, timeout_ms: int) -> ResultPage:
        """Return a page with all texts; it may end before a text that is missing.

        Parameters
        ----------
        page : ResultPage
            Results as the ledger has them.
        timeout_ms : int
            Longest wait, in milliseconds.

        Raises
        ------
        StateUnknown
            The text of the first result could not be had in time.
        """
