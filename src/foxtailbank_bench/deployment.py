"""Description of a fleet that runs on one machine."""

import dataclasses

from foxtailbank.vm_list import VmRole

HTTP_PORT = 8401
PEER_PORT = 8501
HOST = "127.0.0.1"


@dataclasses.dataclass(frozen=True, kw_only=True)
class EntrySpec:
    """Address and zone of one entry VM.

    Attributes
    ----------
    name : str
        Name of the VM.
    zone : str
        Availability zone.
    http_address : str
        IP number and port for callers.
    peer_address : str
        IP number and port for other entry VMs.
    """

    name: str
    zone: str
    http_address: str
    peer_address: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class EndpointSpec:
    """Stand-in for one endpoint VM.

    Attributes
    ----------
    name : str
        Name of the VM.
    role : VmRole
        Engine or service.
    zone : str
        Availability zone.
    pool : str
        Model (engines) or service name.
    arguments : tuple of str
        Further command-line arguments of the stand-in.
    """

    name: str
    role: VmRole
    zone: str
    pool: str
    arguments: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Deployment:
    """All VMs of a fleet and their settings.

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
    """Return entry VMs spread round-robin over zones, on consecutive ports.

    Parameters
    ----------
    zones : tuple of str
        Availability zones.
    count : int
        Number of VMs.
    http_port, peer_port : int
        First port of each range.
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
    """Return engines of a model, spread round-robin over zones."""
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
    """Return workers of a service, spread round-robin over zones."""
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
    """Return the demo fleet: two zones, three entries, four engines, two workers."""
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
