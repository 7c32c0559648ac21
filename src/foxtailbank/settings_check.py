"""Checks of settings that concern more than one value."""

import itertools
import pathlib
import typing as t

from foxtailbank.address import Address, AddressInvalid, parse_address
from foxtailbank.problem import Problem, problem
from foxtailbank.secret_file import SecretUnusable, read_secret
from foxtailbank.settings_sections import TimingSection

_OWN = ("vm.http_address", "vm.peer_address")
_PLATFORM = (
    "platform.log_address",
    "platform.vm_list_address",
    "platform.weight_store_address",
)
_FILES = ("peers.secret_file", "admin.key_file")
_ORDERED_TIMING = (
    ("heartbeat_ms", "peer_timeout_ms"),
    ("chunk_timeout_ms", "drain_timeout_ms"),
    ("load_period_ms", "lease_ms"),
)


def check_settings(
    raw: dict[str, t.Any], *, directory: pathlib.Path
) -> tuple[Problem, ...]:
    """Check how decoded settings fit together; wrong types are left alone.

    Parameters
    ----------
    raw : dict
        Decoded TOML.
    directory : Path
        Where relative file names start.

    Returns
    -------
    tuple of Problem
        Everything found.
    """
    problems: list[Problem] = []
    addresses = _addresses(raw, (*_OWN, *_PLATFORM), problems)
    _check_clashes(addresses, problems)
    _check_seeds(raw, problems)
    _check_zones(raw, problems)
    _check_files(raw, directory, problems)
    _check_timing(raw, problems)
    return tuple(problems)


def _value(raw: dict[str, t.Any], key: str) -> t.Any:
    section, _, name = key.partition(".")
    table = raw.get(section)
    return table.get(name) if isinstance(table, dict) else None


def _addresses(
    raw: dict[str, t.Any], keys: tuple[str, ...], problems: list[Problem]
) -> dict[str, Address]:
    addresses = {}
    for key in keys:
        text = _value(raw, key)
        if not isinstance(text, str):
            continue
        try:
            addresses[key] = parse_address(text)
        except AddressInvalid as error:
            problems.append(problem(key, text, str(error)))
    return addresses


def _check_clashes(addresses: dict[str, Address], problems: list[Problem]) -> None:
    for first, second in itertools.combinations(addresses, 2):
        if first not in _OWN:
            continue
        if addresses[first].clashes_with(addresses[second]):
            reason = f"clashes with {first}"
            problems.append(problem(second, str(addresses[second]), reason))


def _check_seeds(raw: dict[str, t.Any], problems: list[Problem]) -> None:
    seeds = _value(raw, "peers.seeds")
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
            problems.append(problem(key, seed, str(error)))
        if seed in seen:
            problems.append(problem(key, seed, "listed twice"))
        seen.add(seed)


def _check_zones(raw: dict[str, t.Any], problems: list[Problem]) -> None:
    zones = _value(raw, "vm.zones")
    zone = _value(raw, "vm.zone")
    if not isinstance(zones, list):
        return
    if len(zones) != len({str(name) for name in zones}):
        problems.append(problem("vm.zones", zones, "names an availability zone twice"))
    if isinstance(zone, str) and zone not in zones:
        problems.append(problem("vm.zone", zone, "not among vm.zones"))


def _check_files(
    raw: dict[str, t.Any], directory: pathlib.Path, problems: list[Problem]
) -> None:
    for key in _FILES:
        name = _value(raw, key)
        if not isinstance(name, str):
            continue
        try:
            read_secret(directory / name)
        except SecretUnusable as error:
            problems.append(problem(key, name, error.detail))


def _check_timing(raw: dict[str, t.Any], problems: list[Problem]) -> None:
    defaults = TimingSection()
    for low, high in _ORDERED_TIMING:
        values = []
        for name in (low, high):
            value = _value(raw, f"timing.{name}")
            values.append(value if value is not None else getattr(defaults, name))
        if not all(isinstance(value, int) for value in values):
            continue
        if values[0] >= values[1]:
            reason = f"must be greater than timing.{low} ({values[0]})"
            problems.append(problem(f"timing.{high}", values[1], reason))
