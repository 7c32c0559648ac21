"""The platform's list of live and leaving VMs."""

import abc
import dataclasses
import enum


class VmRole(enum.Enum):
    """What runs on a VM."""

    ENTRY = "entry"
    ENGINE = "engine"
    SERVICE = "service"


class VmState(enum.Enum):
    """What the platform says of a VM."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Vm:
    """One VM of the platform's list.

    Attributes
    ----------
    vm_id : str
        Name, unique in the list.
    role : VmRole
        What runs on it.
    zone : str
        Availability zone.
    address : str
        IP number and port, ``"127.0.0.1:9001"``.
    state : VmState
        Live or leaving.
    pool : str
        Model or service that an endpoint VM serves; empty for entry VMs.
    """

    vm_id: str
    role: VmRole
    zone: str
    address: str
    state: VmState = VmState.LIVE
    pool: str = ""


class VmList(abc.ABC):
    """The list; it lags behind reality."""

    @abc.abstractmethod
    async def read(self) -> tuple[Vm, ...]:
        """Return all listed VMs.

        Raises
        ------
        PlatformUnavailable
            The platform gave no answer.
        """
