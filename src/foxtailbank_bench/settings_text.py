"""Settings files for the entry VMs that a launcher starts."""

import json

from foxtailbank_bench.deployment import Deployment, EntrySpec


def settings_text(deployment: Deployment, spec: EntrySpec, *, platform: str) -> str:
    """Return the settings of one entry VM as TOML.

    Parameters
    ----------
    deployment : Deployment
        The fleet.
    spec : EntrySpec
        The entry VM.
    platform : str
        IP number and port of the platform's services.
    """
    seeds = [entry.peer_address for entry in deployment.entries]
    # JSON strings and arrays of strings are also valid TOML.
    lines = [
        "[vm]",
        f"id = {json.dumps(spec.name)}",
        f"zone = {json.dumps(spec.zone)}",
        f"zones = {json.dumps(deployment.zones)}",
        f"http_address = {json.dumps(spec.http_address)}",
        f"peer_address = {json.dumps(spec.peer_address)}",
        "[platform]",
        f"log_address = {json.dumps(platform)}",
        f"vm_list_address = {json.dumps(platform)}",
        f"weight_store_address = {json.dumps(platform)}",
        "[peers]",
        'secret_file = "peers.key"',
        f"seeds = {json.dumps(seeds)}",
        "[admin]",
        'key_file = "admin.key"',
        "[timing]",
        *(f"{name} = {value}" for name, value in deployment.timing),
        "[policy]",
        *(f"{name} = {json.dumps(value)}" for name, value in deployment.policy),
    ]
    return "\n".join(lines) + "\n"
