"""States of an entry VM whose changes are logged."""

import typing as t

from foxtailbank.events import Event
from foxtailbank.log_tailer import LogTailer
from foxtailbank.settings_sections import LogLevel
from foxtailbank.state_change_logger import LoggedState

LOG_LOST_MS = 3_000


def vm_states(
    *,
    is_ready: t.Callable[[], bool],
    may_start_batch: t.Callable[[], bool],
    tailers: tuple[LogTailer, ...],
) -> tuple[LoggedState, ...]:
    """Return the states to watch.

    Parameters
    ----------
    is_ready : callable
        Returns whether the VM is ready to serve requests.
    may_start_batch : callable
        Returns whether batch items may start.
    tailers : tuple of LogTailer
        Readers of the log streams.
    """

    def is_log_lost() -> bool:
        ages_ms = [tailer.age_ms() for tailer in tailers]
        return any(age_ms is not None and age_ms > LOG_LOST_MS for age_ms in ages_ms)

    def is_blocked() -> bool:
        return any(tailer.halted_by is not None for tailer in tailers)

    def is_paused() -> bool:
        return not may_start_batch()

    return (
        LoggedState(is_ready, Event.VM_READY, level=LogLevel.INFO),
        LoggedState(is_log_lost, Event.LOG_LOST, Event.LOG_RESTORED),
        LoggedState(is_blocked, Event.REPLAY_BLOCKED, level=LogLevel.ERROR),
        LoggedState(is_paused, Event.BATCH_PAUSED, Event.BATCH_RESUMED),
    )
