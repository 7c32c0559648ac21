"""Whether a VM that is being stopped still passes new requests on."""

import random

from foxtailbank.exceptions import FoxtailbankError

MIN_RETRY_AFTER_MS = 50  # another VM can take the request at once
MAX_RETRY_AFTER_MS = 200


class VmStopping(FoxtailbankError):
    """The VM shuts down and passes no new request on; nothing of it has run."""

    code = "vm_stopping"
    status = 503


class StopGate:
    """Open until late in a planned stop.

    A request that is passed on after that might still run when the process is killed.

    Parameters
    ----------
    rng : random.Random
        Spreads the retries of refused callers.

    Attributes
    ----------
    is_closed : bool
        Whether new requests are refused.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self.is_closed = False

    def close(self) -> None:
        """Refuse new requests from now on."""
        self.is_closed = True

    def check(self) -> None:
        """Raise an error if new requests are refused.

        Raises
        ------
        VmStopping
            They are.
        """
        if self.is_closed:
            raise VmStopping(retry_after_ms=self.retry_after_ms())

    def retry_after_ms(self) -> int:
        """Return the time after which a refused caller may retry."""
        return self._rng.randint(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS)
