"""For how long keys count after the configuration was last read."""

import random

import anyio

from foxtailbank.clock import MS_PER_S
from foxtailbank.events import Event
from foxtailbank.exceptions import FoxtailbankError
from foxtailbank.forward.route_table import RouteTable
from foxtailbank.log_follower import LogFollower
from foxtailbank.logs import LogFields, Logs
from foxtailbank.settings_sections import LogLevel

RENEW_PERIOD_MS = 250
RENEW_SHARE = 0.5  # of the lease, after which reads are asked for
NEW_KEY_AGE_MS = 1_700  # two polls of the configuration
MIN_RETRY_AFTER_MS = 50  # another VM can take the request at once
MAX_RETRY_AFTER_MS = 200


class KeyLeaseLapsed(FoxtailbankError):
    """The configuration is too old to tell whether the key has been taken away."""

    code = "key_lease_lapsed"
    status = 503


class KeysOutdated(FoxtailbankError):
    """The configuration is too old to tell whether the key has been added."""

    code = "keys_outdated"
    status = 503


class KeyLease:
    """Bounds the age of the configuration by which keys are accepted.

    Parameters
    ----------
    max_age_ms : int
        Greatest age at which requests with keys are passed on, in milliseconds; 0 for
        any age.
    routes : RouteTable
        Routes and customers in force.
    logs : Logs
        Receives a line when the lease lapses and when it is renewed.
    rng : random.Random
        Spreads the retries of refused callers.
    """

    def __init__(
        self, *, max_age_ms: int, routes: RouteTable, logs: Logs, rng: random.Random
    ) -> None:
        self._max_age_ms = max_age_ms
        self._routes = routes
        self._logs = logs
        self._rng = rng
        self._follower: LogFollower | None = None
        self._has_lapsed = False

    def follow(self, follower: LogFollower) -> None:
        """Set the follower that reads the configuration."""
        self._follower = follower

    @property
    def age_ms(self) -> int | None:
        """Age of the configuration in milliseconds; None if it is not known."""
        return self._follower.state_age_ms if self._follower is not None else None

    @property
    def is_fresh(self) -> bool:
        """Whether requests with keys may be passed on."""
        return not self._max_age_ms or self._is_recent(self._max_age_ms)

    async def renew(self) -> None:
        """Read the configuration if the lease has lapsed; return once it is fresh.

        Raises
        ------
        KeyLeaseLapsed
            The store does not answer.
        """
        if self.is_fresh:
            return
        if not await self._read(self._max_age_ms):
            raise KeyLeaseLapsed(
                detail=f"configuration of {self.age_ms} ms ago",
                retry_after_ms=self._retry_after_ms(),
            )

    async def read_new_keys(self) -> None:
        """Read the configuration unless that was done lately.

        Raises
        ------
        KeysOutdated
            The store does not answer.
        """
        if self._follower is None or self._is_recent(NEW_KEY_AGE_MS):
            return
        if not await self._read(NEW_KEY_AGE_MS):
            raise KeysOutdated(
                detail=f"configuration of {self.age_ms} ms ago",
                retry_after_ms=self._retry_after_ms(),
            )

    async def run(self) -> None:
        """Keep the lease fresh until cancelled."""
        while True:
            await anyio.sleep(RENEW_PERIOD_MS / MS_PER_S)
            if self._max_age_ms and self._routes.customers.requires_keys:
                await self._keep_fresh()

    async def _keep_fresh(self) -> None:
        renew_ms = int(self._max_age_ms * RENEW_SHARE)
        if self._follower is not None and not self._is_recent(renew_ms):
            await self._try_refresh(self._follower, renew_ms)
        self._log_change()

    def _is_recent(self, max_age_ms: int) -> bool:
        return self._follower is not None and self._follower.is_recent(max_age_ms)

    async def _read(self, max_age_ms: int) -> bool:
        """Read unless the last poll failed; return whether the state is recent."""
        follower = self._follower
        if follower is None or follower.is_failing:
            return False
        await self._try_refresh(follower, max_age_ms)
        return self._is_recent(max_age_ms)

    async def _try_refresh(self, follower: LogFollower, max_age_ms: int) -> None:
        try:
            await follower.refresh(max_age_ms)
        except FoxtailbankError:
            return  # the age tells

    def _retry_after_ms(self) -> int:
        return self._rng.randint(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS)

    def _log_change(self) -> None:
        has_lapsed = not self.is_fresh
        if has_lapsed == self._has_lapsed:
            return
        self._has_lapsed = has_lapsed
        event = Event.KEY_LEASE_LAPSED if has_lapsed else Event.KEY_LEASE_RENEWED
        fields = LogFields(age_ms=self.age_ms, version=self._routes.version)
        self._logs.write(event, level=LogLevel.WARNING, fields=fields)
