"""Secrets stored in files."""

import pathlib

from foxtailbank.exceptions import SettingsInvalid

MIN_SECRET_BYTES = 8


class SecretUnusable(SettingsInvalid):
    """A secret file cannot be read, or its secret is too short."""


def read_secret(path: str | pathlib.Path) -> bytes:
    """Read a secret and strip surrounding white space.

    Parameters
    ----------
    path : str or Path
        File that contains only the secret.

    Returns
    -------
    bytes
        At least `MIN_SECRET_BYTES` bytes.

    Raises
    ------
    SecretUnusable
        The file cannot be read, or the secret is too short.
    """
    try:
        content = pathlib.Path(path).read_bytes().strip()
    except OSError as error:
        raise SecretUnusable(detail=f"cannot be read: {error.strerror}") from None
    if len(content) < MIN_SECRET_BYTES:
        detail = f"holds a secret of fewer than {MIN_SECRET_BYTES} bytes"
        raise SecretUnusable(detail=detail)
    return content
