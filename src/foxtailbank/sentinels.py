"""Sentinel values that carry the reason for an absence."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Missing:
    """Stands in for a value that is not available.

    Attributes
    ----------
    reason : str
        Why the value is absent; a stable lower-case code.
    """

    reason: str

    def __bool__(self) -> bool:
        return False


NOT_FOUND = Missing(reason="not_found")
NOT_READY = Missing(reason="not_ready")
NO_ENDPOINT = Missing(reason="no_endpoint")
