"""Free ports and a started fleet for tests of separate processes."""

import contextlib
import dataclasses
import os
import socket

from foxtailbank_bench.demo_catalogue import demo_entries, put_entry
from foxtailbank_bench.deployment import demo_deployment
from foxtailbank_bench.launcher import ADMIN_KEY, Launcher


def free_ports(count):
    """Ports that were free a moment ago, as a consecutive run."""
    # Each process has a range of its own, so that two test runs don't collide.
    base = 20_000 + os.getpid() % 600 * 16
    for first in range(base, base + 16, count):
        with contextlib.ExitStack() as stack:
            try:
                for port in range(first, first + count):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        sock = stack.enter_context(socket.socket(type=kind))
                        sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        return first
    raise AssertionError("no free ports")


@contextlib.contextmanager
def running_fleet(directory, *, entries=None, **changes):
    """The demo fleet with its catalogue in force on every entry VM."""
    first = free_ports(8)
    deployment = demo_deployment(http_port=first, peer_port=first + 4)
    deployment = dataclasses.replace(deployment, **changes)
    launcher = Launcher(deployment=deployment, directory=directory)
    try:
        launcher.start()
        address = deployment.entries[0].http_address
        for name, entry in (entries or demo_entries()).items():
            put_entry(address, name, entry, admin_key=ADMIN_KEY)
        yield launcher
    finally:
        launcher.stop()
