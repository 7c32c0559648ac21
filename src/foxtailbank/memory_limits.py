"""Division of a VM's memory among what grows with the load."""

import dataclasses

from foxtailbank.http1.body_memory import BodyMemory

# Of the memory of the VM. The program itself takes about 45 MB. A VM that starts holds
# the stored records and what they decode to at the same time, and a body is held
# about three times while it is decoded, stored and sent.
STORED_SHARE = 0.22
WAITING_SHARE = 0.06
WAITING_TEXT_SHARE = 0.025
HELD_TEXT_SHARE = 0.025
BODY_SHARE = 0.04
ANSWER_SHARE = 0.04
CONNECTION_SHARE = 0.16
BYTES_PER_MB = 1 << 20


@dataclasses.dataclass(frozen=True, kw_only=True)
class MemoryLimits:
    """Most memory for each use.

    Attributes
    ----------
    memory_mb : float
        Memory of the VM, in megabytes.
    """

    memory_mb: float

    @property
    def stored_bytes(self) -> int:
        """Records of all submissions in the log."""
        return self._share(STORED_SHARE)

    @property
    def waiting_bytes(self) -> int:
        """Records that wait to be appended."""
        return self._share(WAITING_SHARE)

    @property
    def waiting_text_bytes(self) -> int:
        """Outputs of items that wait to be appended to a log of their own."""
        return self._share(WAITING_TEXT_SHARE)

    @property
    def held_text_bytes(self) -> int:
        """Outputs of items that are held because callers may read them."""
        return self._share(HELD_TEXT_SHARE)

    @property
    def body_bytes(self) -> int:
        """Bodies of the requests that are read or handled."""
        return self._share(BODY_SHARE)

    def make_answer_memory(self) -> BodyMemory:
        """Return the memory for large bodies of answers that are not passed on yet."""
        return BodyMemory(capacity_bytes=self._share(ANSWER_SHARE))

    @property
    def connection_bytes(self) -> int:
        """Connections of clients, with what is received and not sent yet."""
        return self._share(CONNECTION_SHARE)

    def _share(self, share: float) -> int:
        return int(self.memory_mb * share * BYTES_PER_MB)
