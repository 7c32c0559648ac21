"""What a fleet on one machine consists of."""

import dataclasses

from foxtailbank.vm_list import VmRole

HTTP_PORT = 8401
PEER_PORT = 8501
HOST = "127.0.0.1"


@dataclasses.dataclass(frozen=True, kw_only=True)
class EntrySpec:
    """One entry VM.

    Attributes
    ----------
    name : str
        Name of the VM.
    zone : str
        Availability zone.
    http_address : str
        Where callers connect.
    peer_address : str
        Where other entry VMs connect.
    """

    name: str
    zone: str
    http_address: str
    peer_address: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class EndpointSpec:
    """One endpoint VM's stand-in.

    Attributes
    ----------
    name : str
        Name of the VM.
    role : VmRole
        Engine or service.
    zone : str
        Availability zone.
    pool : str
        Model or service.
    arguments : tuple of str
        Further arguments of the stand-in.
    """

    name: str
    role: VmRole
    zone: str
    pool: str
    arguments: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Deployment:
    """A whole fleet.

    Attributes
    ----------
    zones : tuple of str
        Availability zones.
    entries : tuple of EntrySpec
        Entry VMs.
    endpoints : tuple of EndpointSpec
        Endpoint VMs.
    timing : tuple of (str, int)
        Settings of the section ``timing`` that differ from the defaults.
    policy : tuple of (str, str, int or bool)
        Settings of the section ``policy`` that differ from the defaults.
    """

    zones: tuple[str, ...]
    entries: tuple[EntrySpec, ...]
    endpoints: tuple[EndpointSpec, ...]
    timing: tuple[tuple[str, int], ...] = ()
    policy: tuple[tuple[str, str | int | bool], ...] = ()


def entry_specs(
    *,
    zones: tuple[str, ...],
    count: int,
    http_port: int = HTTP_PORT,
    peer_port: int = PEER_PORT,
) -> tuple[EntrySpec, ...]:
    """Return entry VMs spread over zones, on consecutive ports.

    Parameters
    ----------
    zones : tuple of str
        Availability zones.
    count : int
        Number of VMs.
    http_port, peer_port : int
        First ports.
    """
    return tuple(
        EntrySpec(
            name=f"entry-{index + 1}",
            zone=zones[index % len(zones)],
            http_address=f"{HOST}:{http_port + index}",
            peer_address=f"{HOST}:{peer_port + index}",
        )
        for index in range(count)
    )


def engine_specs(
    *, zones: tuple[str, ...], count: int, model: str, arguments: tuple[str, ...] = ()
) -> tuple[EndpointSpec, ...]:
    """Return engines of a model, spread over zones."""
    return tuple(
        EndpointSpec(
            name=f"{model}-{index + 1}",
            role=VmRole.ENGINE,
            zone=zones[index % len(zones)],
            pool=model,
            arguments=arguments,
        )
        for index in range(count)
    )


def service_specs(
    *, zones: tuple[str, ...], count: int, service: str
) -> tuple[EndpointSpec, ...]:
    """Return workers of a plain service, spread over zones."""
    return tuple(
        EndpointSpec(
            name=f"{service}-{index + 1}",
            role=VmRole.SERVICE,
            zone=zones[index % len(zones)],
            pool=service,
        )
        for index in range(count)
    )


def demo_deployment(
    *, http_port: int = HTTP_PORT, peer_port: int = PEER_PORT
) -> Deployment:
    """Return the small fleet of the demo: two zones, four engines, a service."""
    zones = ("zone-a", "zone-b")
    return Deployment(
        zones=zones,
        entries=entry_specs(
            zones=zones, count=3, http_port=http_port, peer_port=peer_port
        ),
        endpoints=(
            *engine_specs(zones=zones, count=4, model="wordsmith"),
            *service_specs(zones=zones, count=2, service="records"),
        ),
        timing=(("drain_notice_ms", 200),),
    )
