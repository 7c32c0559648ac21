"""Streaming upload of a batch job's input file."""

import contextlib
import hashlib
import pathlib
import shutil
import tempfile
import typing as t

from foxtailbank.cli_failure import CommandFailed
from foxtailbank.exit_code import ExitCode

CHUNK_BYTES = 256 * 1024
PROGRESS_INTERVAL_BYTES = 8 << 20
STDIN_NAME = "-"


class Upload:
    """An open file that is sent as a request body.

    Parameters
    ----------
    file : file object
        Binary file; must be seekable because it is read more than once.

    Attributes
    ----------
    size_bytes : int
        Size of the file.
    """

    def __init__(self, *, file: t.BinaryIO) -> None:
        self._file = file
        self.size_bytes = file.seek(0, 2)

    def idempotency_key(self, entry: str) -> str:
        """Return an idempotency key derived from the content and the entry."""
        digest = hashlib.sha256(entry.encode() + b"\0")
        self._file.seek(0)
        while chunk := self._file.read(CHUNK_BYTES):
            digest.update(chunk)
        return digest.hexdigest()

    def chunks(self, on_progress: t.Callable[[int], None]) -> t.Iterator[bytes]:
        """Yield the content from its start.

        Parameters
        ----------
        on_progress : callable
            Called at intervals with the number of bytes sent so far.
        """
        self._file.seek(0)
        sent = reported = 0
        while chunk := self._file.read(CHUNK_BYTES):
            yield chunk
            sent += len(chunk)
            if sent - reported >= PROGRESS_INTERVAL_BYTES:
                reported = sent
                on_progress(sent)


@contextlib.contextmanager
def open_upload(name: str, *, stdin: t.BinaryIO) -> t.Iterator[Upload]:
    """Open the input file of a job.

    Parameters
    ----------
    name : str
        Path, or ``-`` for standard input, which is copied to a temporary file.
    stdin : file object
        Standard input.

    Raises
    ------
    CommandFailed
        The file cannot be read or is empty.
    """
    with contextlib.ExitStack() as stack:
        try:
            file: t.BinaryIO
            if name == STDIN_NAME:
                file = t.cast(t.BinaryIO, stack.enter_context(tempfile.TemporaryFile()))
                shutil.copyfileobj(stdin, file)
            else:
                file = stack.enter_context(pathlib.Path(name).open("rb"))
        except OSError as error:
            raise CommandFailed(
                exit_code=ExitCode.INVALID_INPUT,
                detail=f"{name} cannot be read: {error.strerror}",
            ) from None
        upload = Upload(file=file)
        if not upload.size_bytes:
            raise CommandFailed(
                exit_code=ExitCode.INVALID_INPUT, detail=f"{name} is empty"
            )
        yield upload
