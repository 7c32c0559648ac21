"""How long after its first event a client may still take up a stream again."""

import typing as t

MIN_LIFETIME_MS = 20_000
# Attempts of one client at one stream. Each lasts as long as its route or its client
# allows, and the client may be told to wait between them.
CLIENT_ATTEMPTS = 4


class StreamLifetimes:
    """Bounds the age of the streams of each service.

    The bound of a service never falls: streams that began under an earlier
    configuration, or for a client with a longer deadline, may still be taken up.
    """

    def __init__(self) -> None:
        self._longest_wait_ms_by_service: dict[str, int] = {}

    def on_wait(self, services: t.Iterable[str], wait_ms: int) -> None:
        """Record how long a route or a client allows one attempt to last.

        Parameters
        ----------
        services : iterable of str
            Services that may run the request.
        wait_ms : int
            Timeout of the route or of the client, in milliseconds.
        """
        for service in services:
            known_ms = self._longest_wait_ms_by_service.get(service, 0)
            self._longest_wait_ms_by_service[service] = max(known_ms, wait_ms)

    def lifetime_ms(self, service: str) -> int:
        """Return the greatest age of a stream of a service, in milliseconds."""
        wait_ms = self._longest_wait_ms_by_service.get(service, 0)
        return max(MIN_LIFETIME_MS, CLIENT_ATTEMPTS * wait_ms)
