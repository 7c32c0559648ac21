"""Units of one limit that were lent and borrowed."""

import dataclasses

DRIFT_FRACTION = 50


@dataclasses.dataclass(frozen=True, kw_only=True)
class Loan:
    """Units that moved from one holder to another for a while.

    Attributes
    ----------
    loan_id : str
        Name.
    peer_id : str
        VM on the other side.
    units : int
        Units.
    until_ms : int
        End on this VM's clock.
    """

    loan_id: str
    peer_id: str
    units: int
    until_ms: int


class LoanBook:
    """Loans in one direction."""

    def __init__(self) -> None:
        self._loan_by_id: dict[str, Loan] = {}

    def add(self, loan: Loan) -> None:
        """Note a loan."""
        self._loan_by_id[loan.loan_id] = loan

    def find(self, loan_id: str, *, now_ms: int) -> Loan | None:
        """Return a loan that has not ended."""
        loan = self._loan_by_id.get(loan_id)
        return loan if loan is not None and loan.until_ms > now_ms else None

    def close(self, loan_id: str) -> Loan | None:
        """Forget a loan and return it."""
        return self._loan_by_id.pop(loan_id, None)

    def units(self, *, now_ms: int) -> int:
        """Return the units of all loans that have not ended."""
        return sum(
            one.units for one in self._loan_by_id.values() if one.until_ms > now_ms
        )

    def forget_ended(self, *, before_ms: int) -> None:
        """Forget loans that ended before a time."""
        self._loan_by_id = {
            loan_id: one
            for loan_id, one in self._loan_by_id.items()
            if one.until_ms > before_ms
        }

    def loans(self) -> tuple[Loan, ...]:
        """Return all loans, the earliest end first."""
        return tuple(sorted(self._loan_by_id.values(), key=lambda one: one.until_ms))


def lender_ms(duration_ms: int) -> int:
    """Return how long a lender waits for a loan, clock drift included."""
    return duration_ms + duration_ms // DRIFT_FRACTION + 1
