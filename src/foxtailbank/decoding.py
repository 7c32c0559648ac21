"""Reading of bytes that come from outside of this process."""

import contextlib
import typing as t

from foxtailbank.exceptions import FoxtailbankError

MAX_DETAIL_CHARS = 200


@contextlib.contextmanager
def decoding(failure: type[FoxtailbankError]) -> t.Iterator[None]:
    """Turn whatever is raised while foreign bytes are read into one typed error.

    Decoders raise more than their documentation names, such as `RecursionError` for
    deep nesting or `ValueError` for numbers of very many digits.

    Parameters
    ----------
    failure : type of FoxtailbankError
        Error to raise; its detail names the original one.
    """
    try:
        yield
    except failure:
        raise
    except Exception as error:
        detail = f"{type(error).__name__}: {error}"[:MAX_DETAIL_CHARS]
        raise failure(detail=detail) from error


def require(condition: bool, problem: str) -> None:
    """Raise `ValueError` with a description of the problem unless a condition holds."""
    if not condition:
        raise ValueError(problem)


def is_encodable(text: str) -> bool:
    """Return whether a decoded text can be encoded again as UTF-8."""
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True
