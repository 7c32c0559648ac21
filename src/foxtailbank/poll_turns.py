"""Which endpoints are asked next, at a bounded rate."""

import collections
import typing as t


class PollTurns:
    """Spreads a fixed number of polls a turn over all endpoints.

    Endpoints that this VM drives batch work on take all polls of a turn but one,
    all others share the last, so that the cost does not grow with the fleet.

    Parameters
    ----------
    polls_per_turn : int
        Endpoints that are asked in one turn.
    """

    def __init__(self, *, polls_per_turn: int) -> None:
        self._polls_per_turn = polls_per_turn
        self._owned: collections.deque[str] = collections.deque()
        self._others: collections.deque[str] = collections.deque()

    def set_endpoints(
        self, endpoint_ids: t.Iterable[str], *, owned: t.Container[str]
    ) -> None:
        """Take the known endpoints; those known before keep their turn.

        Parameters
        ----------
        endpoint_ids : iterable of str
            Known endpoints.
        owned : container of str
            Those that this VM drives batch work on.
        """
        ids = set(endpoint_ids)
        known = [*self._owned, *self._others]
        order = [one for one in known if one in ids]
        order += sorted(ids.difference(known))
        self._owned = collections.deque(one for one in order if one in owned)
        self._others = collections.deque(one for one in order if one not in owned)

    def next_turn(self) -> tuple[str, ...]:
        """Return the endpoints to ask now."""
        count = self._polls_per_turn
        for_others = max(1, count - len(self._owned))
        from_others = min(for_others, len(self._others))
        from_owned = min(count - from_others, len(self._owned))
        return (
            *_rotated(self._owned, from_owned),
            *_rotated(self._others, from_others),
        )


def _rotated(waiting: collections.deque[str], count: int) -> list[str]:
    chosen = [waiting[index] for index in range(count)]
    waiting.rotate(-count)
    return chosen
