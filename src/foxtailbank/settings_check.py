"""Checks of settings beyond the type and range of single values."""

import itertools
import pathlib
import typing as t

from foxtailbank.address import Address, AddressInvalid, parse_address
from foxtailbank.problem import Problem, make_problem
from foxtailbank.secret_file import SecretUnusable, read_secret
from foxtailbank.settings_sections import TimingSection

_VM_ADDRESS_KEYS = ("vm.http_address", "vm.peer_address")
_PLATFORM_ADDRESS_KEYS = (
    "platform.log_address",
    "platform.vm_list_address",
    "platform.weight_store_address",
)
_SECRET_FILE_KEYS = ("peers.secret_file", "admin.key_file")
_INCREASING_TIMING_PAIRS = (
    ("heartbeat_ms", "peer_timeout_ms"),
    ("chunk_timeout_ms", "drain_timeout_ms"),
    ("load_period_ms", "lease_ms"),
)


def check_settings(
    raw: dict[str, t.Any], *, directory: pathlib.Path
) -> tuple[Problem, ...]:
    """Check addresses, zones, secret files and the order of time limits.

    Values of a wrong type are skipped; `build_dataclass` reports them.

    Parameters
    ----------
    raw : dict
        Decoded TOML.
    directory : Path
        Directory that relative file names start from.

    Returns
    -------
    tuple of Problem
        Every problem found.
    """
    problems: list[Problem] = []
    addresses = _parse_addresses(
        raw, (*_VM_ADDRESS_KEYS, *_PLATFORM_ADDRESS_KEYS), problems
    )
    _check_clashes(addresses, problems)
    _check_seeds(raw, problems)
    _check_zones(raw, problems)
    _check_secret_files(raw, directory, problems)
    _check_timing(raw, problems)
    return tuple(problems)


def _get_value(raw: dict[str, t.Any], key: str) -> t.Any:
    section, _, name = key.partition(".")
    table = raw.get(section)
    return table.get(name) if isinstance(table, dict) else None


def _parse_addresses(
    raw: dict[str, t.Any], keys: tuple[str, ...], problems: list[Problem]
) -> dict[str, Address]:
    addresses = {}
    for key in keys:
        text = _get_value(raw, key)
        if not isinstance(text, str):
            continue
        try:
            addresses[key] = parse_address(text)
        except AddressInvalid as error:
            problems.append(make_problem(key, text, str(error)))
    return addresses


def _check_clashes(addresses: dict[str, Address], problems: list[Problem]) -> None:
    for first, second in itertools.combinations(addresses, 2):
        if first not in _VM_ADDRESS_KEYS:
            continue
        if addresses[first].conflicts_with(addresses[second]):
            reason = f"clashes with {first}"
            problems.append(make_problem(second, str(addresses[second]), reason))


def _check_seeds(raw: dict[str, t.Any], problems: list[Problem]) -> None:
    seeds = _get_value(raw, "peers.seeds")
    if not isinstance(seeds, list):
        return
    seen: set[str] = set()
    for index, seed in enumerate(seeds):
        if not isinstance(seed, str):
            continue
        key = f"peers.seeds[{index}]"
        try:
            parse_address(seed)
        except AddressInvalid as error:
            problems.append(make_problem(key, seed, str(error)))
        if seed in seen:
            problems.append(make_problem(key, seed, "listed twice"))
        seen.add(seed)


def _check_zones(raw: dict[str, t.Any], problems: list[Problem]) -> None:
    zones = _get_value(raw, "vm.zones")
    zone = _get_value(raw, "vm.zone")
    if not isinstance(zones, list):
        return
    if len(zones) != len({str(name) for name in zones}):
        problems.append(
            make_problem("vm.zones", zones, "names an availability zone twice")
        )
    if isinstance(zone, str) and zone not in zones:
        problems.append(make_problem("vm.zone", zone, "not among vm.zones"))


def _check_secret_files(
    raw: dict[str, t.Any], directory: pathlib.Path, problems: list[Problem]
) -> None:
    for key in _SECRET_FILE_KEYS:
        name = _get_value(raw, key)
        if not isinstance(name, str):
            continue
        try:
            read_secret(directory / name)
        except SecretUnusable as error:
            problems.append(make_problem(key, name, error.detail))


def _check_timing(raw: dict[str, t.Any], problems: list[Problem]) -> None:
    defaults = TimingSection()
    for low, high in _INCREASING_TIMING_PAIRS:
        values = []
        for name in (low, high):
            value = _get_value(raw, f"timing.{name}")
            values.append(value if value is not None else getattr(defaults, name))
        if not all(isinstance(value, int) for value in values):
            continue
        if values[0] >= values[1]:
            reason = f"must be greater than timing.{low} ({values[0]})"
            problems.append(make_problem(f"timing.{high}", values[1], reason))
