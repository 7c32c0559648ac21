"""Writes a line when a state of this VM begins or ends."""

import typing as t

from foxtailbank.events import Event
from foxtailbank.logs import LogFields, Logs
from foxtailbank.settings_sections import LogLevel


class WatchedState(t.NamedTuple):
    """A state and the lines that tell of it.

    Attributes
    ----------
    is_on : callable
        Whether the state holds now.
    begins : Event
        Line at its beginning.
    ends : Event or None
        Line at its end; None if it has none.
    level : LogLevel
        Severity of its beginning.
    """

    is_on: t.Callable[[], bool]
    begins: Event
    ends: Event | None = None
    level: LogLevel = LogLevel.WARNING


class StateLog:
    """Looks at states again and again.

    Parameters
    ----------
    logs : Logs
        Takes the lines.
    states : tuple of WatchedState
        What is looked at.
    """

    def __init__(self, *, logs: Logs, states: tuple[WatchedState, ...]) -> None:
        self._logs = logs
        self._states = states
        self._was_on = [False] * len(states)

    async def look(self) -> None:
        """Write a line for each state that changed since the last look."""
        for index, state in enumerate(self._states):
            is_on = state.is_on()
            if is_on == self._was_on[index]:
                continue
            self._was_on[index] = is_on
            if is_on:
                self._logs.write(state.begins, level=state.level, fields=LogFields())
            elif state.ends is not None:
                self._logs.write(state.ends, fields=LogFields())
