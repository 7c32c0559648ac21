"""Runs programs of this package as child processes, for tests and experiments."""

import contextlib
import dataclasses
import sys
import typing as t

import anyio
import anyio.abc
import anyio.streams.buffered
import msgspec

from foxtailbank.clock import MS_PER_S

MAX_NOTICE_LINE_BYTES = 4_096
STOP_TIMEOUT_MS = 15_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Program:
    """A running program.

    Attributes
    ----------
    address : str
        IP number and port that it listens on.
    process : anyio.abc.Process
        Child process.
    """

    address: str
    process: anyio.abc.Process


class _Notice(msgspec.Struct, frozen=True):
    address: str


class ProgramFailed(Exception):
    """The program exited before it accepted connections."""


@contextlib.asynccontextmanager
async def started(
    module: str, *arguments: str, stop_ms: int = STOP_TIMEOUT_MS
) -> t.AsyncIterator[Program]:
    """Run a program until the context ends.

    Parameters
    ----------
    module : str
        Module to run, such as ``"foxtailbank_bench.engine"``.
    *arguments : str
        Command line arguments.
    stop_ms : int
        Milliseconds from SIGTERM until SIGKILL.

    Yields
    ------
    Program
        The running program, which accepts connections.

    Raises
    ------
    ProgramFailed
        The program exited before it accepted connections.
    """
    command = [sys.executable, "-m", module, *arguments]
    process = await anyio.open_process(command, stderr=None)
    try:
        yield Program(address=await _read_address(process), process=process)
    finally:
        with anyio.CancelScope(shield=True):
            await _stop(process, stop_ms)


async def _read_address(process: anyio.abc.Process) -> str:
    assert process.stdout is not None
    stream = anyio.streams.buffered.BufferedByteReceiveStream(process.stdout)
    try:
        line = await stream.receive_until(b"\n", MAX_NOTICE_LINE_BYTES)
    except anyio.IncompleteRead as error:
        raise ProgramFailed("program exited without printing its address") from error
    return msgspec.json.decode(line, type=_Notice).address


async def _stop(process: anyio.abc.Process, stop_ms: int) -> None:
    if process.returncode is None:
        process.terminate()
    with anyio.move_on_after(stop_ms / MS_PER_S) as scope:
        await process.wait()
    if scope.cancelled_caught:
        process.kill()
        await process.wait()
    await process.aclose()
