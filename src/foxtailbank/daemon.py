"""Daemon of an entry VM."""

import argparse
import random
import signal
import sys

import anyio

from foxtailbank.clock import MS_PER_S, SystemClock
from foxtailbank.entry_vm import EntryVm
from foxtailbank.events import Event
from foxtailbank.exceptions import SettingsInvalid
from foxtailbank.http_server import open_listener, serve
from foxtailbank.logs import LogFields, Logs
from foxtailbank.settings import Settings, load_settings
from foxtailbank.settings_sections import LogLevel

EXIT_INVALID_SETTINGS = 3
EXIT_ADDRESS_UNAVAILABLE = 4


def main(argv: list[str] | None = None) -> int:
    """Run the daemon until SIGTERM or SIGINT.

    Parameters
    ----------
    argv : list of str, optional
        Command-line arguments; those of the process by default.

    Returns
    -------
    int
        Exit status: 0 after a planned stop, 3 for invalid settings, 4 if the server
        cannot listen on its address.
    """
    parser = argparse.ArgumentParser(prog="foxtailbankd", description=__doc__)
    parser.add_argument("--settings", required=True, help="TOML file")
    options = parser.parse_args(argv)
    try:
        settings = load_settings(options.settings)
    except SettingsInvalid as failure:
        sys.stderr.write(f"foxtailbankd: {failure.detail}\n")
        return EXIT_INVALID_SETTINGS
    return anyio.run(_run, settings)


async def _run(settings: Settings) -> int:
    logs = Logs(vm=settings.vm.id, zone=settings.vm.zone, level=settings.logs.level)
    vm = EntryVm(settings=settings, clock=SystemClock(), logs=logs, rng=random.Random())
    try:
        sock = open_listener(settings.vm.http_address)
    except OSError as error:
        reason = f"{settings.vm.http_address}: {error.strerror}"
        fields = LogFields(reason=reason)
        logs.write(Event.SETTINGS_REFUSED, level=LogLevel.ERROR, fields=fields)
        return EXIT_ADDRESS_UNAVAILABLE
    logs.write(Event.VM_STARTED)
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:
        await vm.run(tasks)
        handed_over = anyio.Event()
        tasks.start_soon(_watch_signals, vm, settings, stop, handed_over, logs)
        # The server's internal task group can leave the task that runs it marked as
        # cancelled, so the server runs in a separate task.
        async with anyio.create_task_group() as server:

            async def _serve() -> None:
                await serve(vm.app, sock=sock, settings=settings, stop=stop)

            server.start_soon(_serve)
        await handed_over.wait()
        tasks.cancel_scope.cancel()
    logs.write(Event.VM_STOPPED)
    return 0


async def _watch_signals(
    vm: EntryVm,
    settings: Settings,
    stop: anyio.Event,
    handed_over: anyio.Event,
    logs: Logs,
) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            if vm.health.is_stopping:
                continue
            vm.health.is_stopping = True
            logs.write(Event.VM_DRAINING)
            await anyio.sleep(settings.timing.drain_notice_ms / MS_PER_S)
            stop.set()
            # The log may be unavailable, so the hand-over has a time limit. Items
            # whose state cannot be recorded run again on another VM.
            with anyio.move_on_after(settings.timing.hand_over_ms / MS_PER_S):
                await vm.hand_over()
            handed_over.set()


if __name__ == "__main__":
    sys.exit(main())
