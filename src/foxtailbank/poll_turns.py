"""Which endpoints are asked next, at a bounded rate."""

import typing as t

OWNED_WEIGHT = 4


class PollTurns:
    """Spreads a fixed number of polls a turn over all endpoints.

    Endpoints that this VM drives batch work on come up more often than others, so
    that the cost of polling does not grow with the fleet.

    Parameters
    ----------
    polls_per_turn : int
        Endpoints that are asked in one turn.
    """

    def __init__(self, *, polls_per_turn: int) -> None:
        self._polls_per_turn = polls_per_turn
        self._turn = 0
        self._polled_by_id: dict[str, int] = {}

    def next_turn(
        self, endpoint_ids: t.Iterable[str], *, owned: t.Callable[[str], bool]
    ) -> tuple[str, ...]:
        """Return the endpoints to ask now.

        Parameters
        ----------
        endpoint_ids : iterable of str
            Known endpoints.
        owned : callable
            Whether this VM drives batch work on an endpoint.

        Returns
        -------
        tuple of str
            Those that have waited longest for their weight.
        """
        self._turn += 1
        ids = sorted(endpoint_ids)
        self._polled_by_id = {one: self._polled_by_id.get(one, 0) for one in ids}
        weights = {one: OWNED_WEIGHT if owned(one) else 1 for one in ids}
        due = sorted(
            ids,
            key=lambda one: (self._polled_by_id[one] - self._turn) * weights[one],
        )
        chosen = tuple(due[: self._polls_per_turn])
        for one in chosen:
            self._polled_by_id[one] = self._turn
        return chosen
