"""Token bucket with integer arithmetic."""

import dataclasses

_MICRO_PER_UNIT = 1_000_000


@dataclasses.dataclass(kw_only=True, eq=False)
class TokenReservation:
    """An amount taken out of a bucket that is settled once the use is known.

    Attributes
    ----------
    amount_micro : int
        Reserved amount, in millionths of a unit.
    peak_micro : int
        Highest bucket level since the reservation, in millionths of a unit. The
        settlement of another reservation raises it by what that returns.
    """

    amount_micro: int
    peak_micro: int


class TokenBucket:
    """Limits the rate of an amount and allows bursts; exact to the millisecond.

    An amount larger than the burst is allowed once the bucket is full. It makes the
    level negative, so that the long-term rate still holds.

    Parameters
    ----------
    rate_milli_per_s : int
        Refill rate, in thousandths of a unit per second; greater than 0.
    burst : int
        Capacity of the bucket in units; greater than 0.
    now_ms : int
        Current time in milliseconds.
    level : int, optional
        Units in the bucket at first; the burst by default.
    """

    def __init__(
        self,
        *,
        rate_milli_per_s: int,
        burst: int,
        now_ms: int,
        level: int | None = None,
    ) -> None:
        self._rate_milli_per_s = rate_milli_per_s
        self._burst_micro = burst * _MICRO_PER_UNIT
        self._level_micro = self._burst_micro
        if level is not None:
            self._level_micro = min(self._burst_micro, level * _MICRO_PER_UNIT)
        self._at_ms = now_ms
        self._outstanding: list[TokenReservation] = []

    def available(self, now_ms: int) -> int:
        """Return the whole units in the bucket."""
        return max(0, self._level_at(now_ms) // _MICRO_PER_UNIT)

    def put(self, amount: int, now_ms: int) -> None:
        """Add units from another bucket, up to the burst."""
        self._refill(now_ms)
        self._add(amount * _MICRO_PER_UNIT)

    def wait_ms(self, amount: int, now_ms: int) -> int:
        """Return the milliseconds until an amount is allowed; 0 if it is allowed now.

        Parameters
        ----------
        amount : int
            Requested units.
        now_ms : int
            Current time in milliseconds.
        """
        needed_micro = min(amount * _MICRO_PER_UNIT, self._burst_micro)
        deficit_micro = needed_micro - self._level_at(now_ms)
        if deficit_micro <= 0:
            return 0
        return -(-deficit_micro // self._rate_milli_per_s)

    def reserve(self, amount: int, now_ms: int) -> TokenReservation:
        """Take an amount out of the bucket; `wait_ms` must have returned 0 for it.

        Returns
        -------
        TokenReservation
            Pass it to `settle` once the used amount is known.
        """
        self._refill(now_ms)
        self._update_peaks()
        self._level_micro -= amount * _MICRO_PER_UNIT
        reservation = TokenReservation(
            amount_micro=amount * _MICRO_PER_UNIT, peak_micro=self._level_micro
        )
        self._outstanding.append(reservation)
        return reservation

    def is_outstanding(self, reservation: TokenReservation) -> bool:
        """Return whether a reservation was made here and has not been settled."""
        return reservation in self._outstanding

    def settle(self, reservation: TokenReservation, *, used: int, now_ms: int) -> None:
        """Return the reserved units that were not used.

        The level never ends up higher than if only the used amount had been taken:
        refill that would have overflowed the bucket in that case is not returned.

        Parameters
        ----------
        reservation : TokenReservation
            Result of `reserve`.
        used : int
            Number of units used.
        now_ms : int
            Current time in milliseconds.
        """
        self._refill(now_ms)
        self._update_peaks()
        self._outstanding.remove(reservation)
        unused_micro = max(0, reservation.amount_micro - used * _MICRO_PER_UNIT)
        lost_micro = max(0, reservation.peak_micro + unused_micro - self._burst_micro)
        returned_micro = max(0, unused_micro - lost_micro)
        for other in self._outstanding:
            other.peak_micro += returned_micro
        self._add(returned_micro)

    def resize(self, *, rate_milli_per_s: int, burst: int, now_ms: int) -> None:
        """Change rate and burst; the level is kept, capped at the new burst."""
        self._refill(now_ms)
        self._update_peaks()
        self._rate_milli_per_s = rate_milli_per_s
        self._burst_micro = burst * _MICRO_PER_UNIT
        self._level_micro = min(self._level_micro, self._burst_micro)

    def _update_peaks(self) -> None:
        for reservation in self._outstanding:
            reservation.peak_micro = max(reservation.peak_micro, self._level_micro)

    def _refill(self, now_ms: int) -> None:
        self._level_micro = self._level_at(now_ms)
        self._at_ms = max(self._at_ms, now_ms)

    def _level_at(self, now_ms: int) -> int:
        """Return the level at a time, in millionths of a unit."""
        elapsed_ms = max(0, now_ms - self._at_ms)
        refilled_micro = self._level_micro + elapsed_ms * self._rate_milli_per_s
        return min(self._burst_micro, refilled_micro)

    def _add(self, micro: int) -> None:
        self._level_micro = min(self._burst_micro, self._level_micro + micro)
