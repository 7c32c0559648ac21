"""What a VM's process is, and the sizes that its store takes."""

import dataclasses

CONTENT_SHARE = 0.8  # of the largest record; keys and names take the rest


@dataclasses.dataclass(frozen=True, kw_only=True)
class VmIdentity:
    """Identity of this process.

    Attributes
    ----------
    vm_id : str
        Name of the VM.
    zone : str
        Its availability zone.
    incarnation : int
        Number of this process; increases with each start.
    peer_address : str
        IP address and port for datagrams from other entry VMs.
    """

    vm_id: str
    zone: str
    incarnation: int
    peer_address: str

    @property
    def process_name(self) -> str:
        """Name of this process in the log."""
        return f"{self.vm_id}/{self.incarnation}"


@dataclasses.dataclass(frozen=True, kw_only=True)
class StoreLimits:
    """Size limits of the store.

    Attributes
    ----------
    max_record_bytes, max_append_bytes : int
        Largest record and largest append, in bytes.
    max_text_bytes : int
        Most that may be stored of outputs that are kept apart, in bytes.
    """

    max_record_bytes: int
    max_append_bytes: int
    max_text_bytes: int

    @property
    def max_content_bytes(self) -> int:
        """Bytes of bodies or output that fit into a record."""
        return int(self.max_record_bytes * CONTENT_SHARE)
