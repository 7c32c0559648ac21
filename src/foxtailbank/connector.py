"""Factory of adapters for the endpoints in the VM list."""

import typing as t

from foxtailbank.endpoint import PlainService
from foxtailbank.events import Event
from foxtailbank.http_endpoint import HttpEndpoint
from foxtailbank.http_service import HttpPlainService
from foxtailbank.logs import LogFields, Logs
from foxtailbank.settings_sections import TimingSection
from foxtailbank.vm_list import Vm, VmRole


class Connector:
    """Creates the adapter for an endpoint according to its role.

    Parameters
    ----------
    timing : TimingSection
        Time limits.
    logs : Logs
        Log to which each new endpoint is written.
    """

    def __init__(self, *, timing: TimingSection, logs: Logs) -> None:
        self._timing = timing
        self._logs = logs

    def connect(self, vm: Vm) -> PlainService:
        """Return an adapter; connections are opened by the first call."""
        self._logs.write(Event.ENDPOINT_JOINED, fields=LogFields(endpoint=vm.vm_id))
        bounds: dict[str, t.Any] = {
            "address": vm.address,
            "connect_ms": self._timing.connect_timeout_ms,
            "head_ms": self._timing.first_chunk_timeout_ms,
            "first_chunk_ms": self._timing.first_chunk_timeout_ms,
            "stall_ms": self._timing.chunk_timeout_ms,
        }
        if vm.role is VmRole.ENGINE:
            return HttpEndpoint(**bounds)
        return HttpPlainService(**bounds)
