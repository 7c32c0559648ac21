"""Ids of submissions that are distinct for each customer."""

from foxtailbank.exceptions import InvalidRequest

# Ids come in headers and paths, whose characters are bytes and can't be this one.
SEPARATOR = "→"


def scoped_id(submission_id: str, *, customer: str) -> str:
    """Return the id by which a submission is stored.

    Parameters
    ----------
    submission_id : str
        Id that the client chose.
    customer : str
        Name of the customer; empty for none, whose ids are stored as they are.

    Raises
    ------
    InvalidRequest
        The id could be taken for that of another customer.
    """
    if SEPARATOR in submission_id:
        raise InvalidRequest(detail=f"{SEPARATOR} in the id of a submission")
    if not customer:
        return submission_id
    return f"{customer}{SEPARATOR}{submission_id}"
