"""Several states that are built from one log, each from the keys of its own."""

import typing as t

from foxtailbank.keyed_log import LogSlice
from foxtailbank.log_follower import LogState


class KeyRouter(LogState):
    """Passes each record to the state that its key belongs to.

    A log that all VMs follow anyway carries rare records of another kind at no further
    calls to the store.

    Parameters
    ----------
    default : LogState
        Gets the records that belong to no other state.
    by_prefix : mapping of str to LogState
        States by the prefix of their keys.
    """

    def __init__(
        self, *, default: LogState, by_prefix: t.Mapping[str, LogState]
    ) -> None:
        self._default = default
        self._by_prefix = dict(by_prefix)

    def restore(self, newest: LogSlice) -> None:
        """Restore all states."""
        for state, part in self._split(newest):
            state.restore(part)

    def apply_records(self, part: LogSlice) -> None:
        """Apply the records to the states that they belong to."""
        for state, own_part in self._split(part):
            if own_part.records:
                state.apply_records(own_part)

    def _split(self, part: LogSlice) -> t.Iterator[tuple[LogState, LogSlice]]:
        rest = part.records
        for prefix, state in self._by_prefix.items():
            own = tuple(record for record in rest if record.key.startswith(prefix))
            if own:
                rest = tuple(r for r in rest if not r.key.startswith(prefix))
            yield state, LogSlice(records=own, end=part.end)
        yield self._default, LogSlice(records=rest, end=part.end)
