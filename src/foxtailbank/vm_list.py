"""Interface to the platform's list of live and leaving VMs."""

import abc
import dataclasses
import enum


class VmRole(enum.Enum):
    """What runs on a VM."""

    ENTRY = "entry"
    ENGINE = "engine"
    SERVICE = "service"


class VmState(enum.Enum):
    """State of a VM according to the platform."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Vm:
    """An entry of the platform's list of VMs.

    Attributes
    ----------
    vm_id : str
        Identifier, unique in the list.
    role : VmRole
        What runs on it.
    zone : str
        Availability zone.
    address : str
        IP address and port, such as ``"127.0.0.1:9001"``.
    state : VmState
        Live or leaving.
    pool : str
        Model or service that an endpoint VM serves; empty for entry VMs.
    software_version : str
        Version of an endpoint's software, not of the model; empty if unknown.
    """

    vm_id: str
    role: VmRole
    zone: str
    address: str
    state: VmState = VmState.LIVE
    pool: str = ""
    software_version: str = ""

    def may_continue_output_of(self, other: "Vm") -> bool:
        """Return whether an endpoint runs the software that wrote an output.

        What two software versions write does not fit together.
        """
        if not self.software_version or self.pool != other.pool:
            return False
        return self.software_version == other.software_version


class VmList(abc.ABC):
    """Source of the platform's list, which may lag behind the actual state."""

    @abc.abstractmethod
    async def read(self) -> tuple[Vm, ...]:
        """Return all listed VMs.

        Raises
        ------
        PlatformUnavailable
            The platform did not answer.
        """
