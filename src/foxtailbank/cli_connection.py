"""Where and as whom a command connects."""

import argparse
import dataclasses
import pathlib
import typing as t

import msgspec

from foxtailbank.address import AddressInvalid, parse_address
from foxtailbank.cli_failure import CommandFailed
from foxtailbank.exit_code import ExitCode
from foxtailbank.problem import Problem, problem
from foxtailbank.record_check import build

DEFAULT_ADDRESS = "127.0.0.1:8401"
DEFAULT_TIMEOUT_S = 30.0
ADDRESS_VARIABLE = "FOXTAILBANK_ADDRESS"
KEY_VARIABLE = "FOXTAILBANK_KEY"
ADMIN_KEY_VARIABLE = "FOXTAILBANK_ADMIN_KEY"
PROFILE_VARIABLE = "FOXTAILBANK_PROFILE"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Connection:
    """Address and keys.

    Attributes
    ----------
    address : str
        Entry VM or balancer, ``IP:PORT``.
    key : str
        Caller's key; empty if none was given.
    admin_key : str
        Operators' key; empty if none was given.
    request_timeout_s : float
        Longest silence of the entry VM, in seconds.
    """

    address: str = DEFAULT_ADDRESS
    key: str = ""
    admin_key: str = ""
    request_timeout_s: float = DEFAULT_TIMEOUT_S


def add_connection_options(parser: argparse.ArgumentParser) -> None:
    """Add the options that every connecting command has."""
    group = parser.add_argument_group(
        "connection", "flags go before environment, environment before profile"
    )
    group.add_argument(
        "--address", metavar="IP:PORT", help=f"entry VM (${ADDRESS_VARIABLE})"
    )
    group.add_argument("--key", help=f"caller's key (${KEY_VARIABLE})")
    group.add_argument("--admin-key", help=f"operators' key (${ADMIN_KEY_VARIABLE})")
    group.add_argument(
        "--profile",
        metavar="FILE",
        help=f"TOML with address, key, admin_key (${PROFILE_VARIABLE})",
    )
    group.add_argument(
        "--request-timeout-s",
        type=float,
        metavar="S",
        help=f"longest silence of the entry VM (default {DEFAULT_TIMEOUT_S:g})",
    )


def read_connection(
    options: argparse.Namespace, environment: t.Mapping[str, str]
) -> Connection:
    """Gather the connection from flags, environment and profile.

    Parameters
    ----------
    options : argparse.Namespace
        Parsed flags.
    environment : mapping of str to str
        Environment variables.

    Returns
    -------
    Connection
        With defaults where nothing was given.

    Raises
    ------
    CommandFailed
        The profile or the address is invalid.
    """
    profile = options.profile or environment.get(PROFILE_VARIABLE)
    base = _read_profile(pathlib.Path(profile)) if profile else Connection()
    connection = Connection(
        address=options.address or environment.get(ADDRESS_VARIABLE) or base.address,
        key=options.key or environment.get(KEY_VARIABLE) or base.key,
        admin_key=options.admin_key
        or environment.get(ADMIN_KEY_VARIABLE)
        or base.admin_key,
        request_timeout_s=options.request_timeout_s or base.request_timeout_s,
    )
    try:
        parse_address(connection.address)
    except AddressInvalid as error:
        raise CommandFailed(
            exit_code=ExitCode.INVALID_INPUT,
            detail=f"address {connection.address}: {error}",
            next_step=f"give --address, for example {DEFAULT_ADDRESS}",
        ) from None
    return connection


def _read_profile(path: pathlib.Path) -> Connection:
    problems: list[Problem] = []
    connection = None
    try:
        raw = msgspec.toml.decode(path.read_bytes())
        connection = build(Connection, raw, problems=problems)
    except OSError as error:
        problems.append(problem("(file)", str(path), f"{error.strerror}"))
    except msgspec.DecodeError as error:
        problems.append(problem("(file)", str(path), str(error)))
    if connection is None or problems:
        raise CommandFailed(
            exit_code=ExitCode.INVALID_INPUT,
            detail=f"profile {path} is invalid",
            problems=tuple(problems),
        )
    return connection
