"""Round-robin schedule of endpoint polls, at a bounded rate."""

import collections
import typing as t


class PollSchedule:
    """Distributes a fixed number of polls per round over all endpoints.

    Endpoints whose batch work this VM runs get up to all polls of a round but one,
    and the others share the rest, so that the cost does not grow with the fleet.

    Parameters
    ----------
    polls_per_round : int
        Number of endpoints polled in one round.
    """

    def __init__(self, *, polls_per_round: int) -> None:
        self._polls_per_round = polls_per_round
        self._owned: collections.deque[str] = collections.deque()
        self._others: collections.deque[str] = collections.deque()

    def set_endpoints(
        self, endpoint_ids: t.Iterable[str], *, owned: t.Container[str]
    ) -> None:
        """Set the known endpoints; those already known keep their order.

        Parameters
        ----------
        endpoint_ids : iterable of str
            Known endpoints.
        owned : container of str
            Endpoints whose batch work this VM runs.
        """
        ids = set(endpoint_ids)
        known = [*self._owned, *self._others]
        order = [endpoint for endpoint in known if endpoint in ids]
        order += sorted(ids.difference(known))
        self._owned = collections.deque(
            endpoint for endpoint in order if endpoint in owned
        )
        self._others = collections.deque(
            endpoint for endpoint in order if endpoint not in owned
        )

    def next_round(self) -> tuple[str, ...]:
        """Return the endpoints to poll now."""
        count = self._polls_per_round
        for_others = max(1, count - len(self._owned))
        from_others = min(for_others, len(self._others))
        from_owned = min(count - from_others, len(self._owned))
        return (
            *_take_and_rotate(self._owned, from_owned),
            *_take_and_rotate(self._others, from_others),
        )


def _take_and_rotate(waiting: collections.deque[str], count: int) -> list[str]:
    chosen = [waiting[index] for index in range(count)]
    waiting.rotate(-count)
    return chosen
