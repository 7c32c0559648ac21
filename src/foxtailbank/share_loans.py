"""Loans of units of one limit between VMs."""

import dataclasses

# Clocks of lender and borrower may drift apart by one part in this many (2 %).
DRIFT_DIVISOR = 50


@dataclasses.dataclass(frozen=True, kw_only=True)
class Loan:
    """Units that one holder lends to another for a limited time.

    Attributes
    ----------
    loan_id : str
        Id, chosen by the borrower.
    peer_id : str
        Lender or borrower, whichever is the other VM.
    units : int
        Units lent.
    expires_at_ms : int
        Expiry on this VM's clock.
    """

    loan_id: str
    peer_id: str
    units: int
    expires_at_ms: int


class LoanTable:
    """Loans in one direction: either all lent or all borrowed by this VM."""

    def __init__(self) -> None:
        self._loan_by_id: dict[str, Loan] = {}

    def add(self, loan: Loan) -> None:
        """Add a loan, or replace the one with the same id."""
        self._loan_by_id[loan.loan_id] = loan

    def find_active(self, loan_id: str, *, now_ms: int) -> Loan | None:
        """Return a loan unless it has expired."""
        loan = self._loan_by_id.get(loan_id)
        return loan if loan is not None and loan.expires_at_ms > now_ms else None

    def remove(self, loan_id: str) -> Loan | None:
        """Remove a loan and return it, if there is one."""
        return self._loan_by_id.pop(loan_id, None)

    def active_units(self, *, now_ms: int) -> int:
        """Return the sum of the units of all loans that have not expired."""
        return sum(
            loan.units
            for loan in self._loan_by_id.values()
            if loan.expires_at_ms > now_ms
        )

    def remove_expired(self, *, before_ms: int) -> None:
        """Remove loans that expired at `before_ms` or earlier."""
        self._loan_by_id = {
            loan_id: loan
            for loan_id, loan in self._loan_by_id.items()
            if loan.expires_at_ms > before_ms
        }

    def loans_by_expiry(self) -> tuple[Loan, ...]:
        """Return all loans, earliest expiry first."""
        return tuple(
            sorted(self._loan_by_id.values(), key=lambda one: one.expires_at_ms)
        )


def lender_wait_ms(duration_ms: int) -> int:
    """Return how long a lender treats units as lent, with a margin for clock drift."""
    return duration_ms + duration_ms // DRIFT_DIVISOR + 1
