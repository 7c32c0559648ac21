"""Logs when a state of this VM begins or ends."""

import typing as t

from foxtailbank.events import Event
from foxtailbank.logs import LogFields, Logs
from foxtailbank.settings_sections import LogLevel


class LoggedState(t.NamedTuple):
    """A state and the events logged for it.

    Attributes
    ----------
    is_on : callable
        Returns whether the state currently holds.
    begin_event : Event
        Event logged when the state begins.
    end_event : Event or None
        Event logged when the state ends; None to log nothing.
    level : LogLevel
        Level of `begin_event`.
    """

    is_on: t.Callable[[], bool]
    begin_event: Event
    end_event: Event | None = None
    level: LogLevel = LogLevel.WARNING


class StateChangeLogger:
    """Logs changes of a set of states.

    Parameters
    ----------
    logs : Logs
        Log to write to.
    states : tuple of LoggedState
        States to check.
    """

    def __init__(self, *, logs: Logs, states: tuple[LoggedState, ...]) -> None:
        self._logs = logs
        self._states = states
        self._was_on = [False] * len(states)

    async def check(self) -> None:
        """Log each state that changed since the last check."""
        for index, state in enumerate(self._states):
            is_on = state.is_on()
            if is_on == self._was_on[index]:
                continue
            self._was_on[index] = is_on
            if is_on:
                self._logs.write(
                    state.begin_event, level=state.level, fields=LogFields()
                )
            elif state.end_event is not None:
                self._logs.write(state.end_event, fields=LogFields())
