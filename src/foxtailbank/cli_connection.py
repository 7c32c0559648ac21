"""Address and credentials that a command connects with."""

import argparse
import dataclasses
import pathlib
import typing as t

import msgspec

from foxtailbank.address import AddressInvalid, parse_address
from foxtailbank.cli_failure import CommandFailed
from foxtailbank.dataclass_builder import build_dataclass
from foxtailbank.exit_code import ExitCode
from foxtailbank.problem import Problem, make_problem

DEFAULT_ADDRESS = "127.0.0.1:8401"
DEFAULT_TIMEOUT_S = 30.0
ADDRESS_VARIABLE = "FOXTAILBANK_ADDRESS"
KEY_VARIABLE = "FOXTAILBANK_KEY"
ADMIN_KEY_VARIABLE = "FOXTAILBANK_ADMIN_KEY"
PROFILE_VARIABLE = "FOXTAILBANK_PROFILE"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Connection:
    """Address, keys and timeout.

    Attributes
    ----------
    address : str
        Entry VM or load balancer, ``IP:PORT``.
    key : str
        Caller's key; empty if none was given.
    admin_key : str
        Operators' key; empty if none was given.
    request_timeout_s : float
        Timeout of each connect, read and write, in seconds.
    """

    address: str = DEFAULT_ADDRESS
    key: str = ""
    admin_key: str = ""
    request_timeout_s: float = DEFAULT_TIMEOUT_S


def add_connection_options(parser: argparse.ArgumentParser) -> None:
    """Add the options shared by all commands that connect."""
    group = parser.add_argument_group(
        "connection", "flags override the environment, which overrides the profile"
    )
    group.add_argument(
        "--address", metavar="IP:PORT", help=f"entry VM (${ADDRESS_VARIABLE})"
    )
    group.add_argument("--key", help=f"caller's key (${KEY_VARIABLE})")
    group.add_argument("--admin-key", help=f"operators' key (${ADMIN_KEY_VARIABLE})")
    group.add_argument(
        "--profile",
        metavar="FILE",
        help=f"TOML file with address, key, admin_key (${PROFILE_VARIABLE})",
    )
    group.add_argument(
        "--request-timeout-s",
        type=float,
        metavar="S",
        help=f"timeout of each connect, read and write (default {DEFAULT_TIMEOUT_S:g})",
    )


def read_connection(
    options: argparse.Namespace, environment: t.Mapping[str, str]
) -> Connection:
    """Read the connection from flags, environment and profile.

    Parameters
    ----------
    options : argparse.Namespace
        Parsed flags.
    environment : mapping of str to str
        Environment variables.

    Returns
    -------
    Connection
        Values that are not given have their defaults.

    Raises
    ------
    CommandFailed
        The profile or the address is invalid.
    """
    profile = options.profile or environment.get(PROFILE_VARIABLE)
    defaults = _read_profile(pathlib.Path(profile)) if profile else Connection()
    connection = Connection(
        address=options.address
        or environment.get(ADDRESS_VARIABLE)
        or defaults.address,
        key=options.key or environment.get(KEY_VARIABLE) or defaults.key,
        admin_key=options.admin_key
        or environment.get(ADMIN_KEY_VARIABLE)
        or defaults.admin_key,
        request_timeout_s=options.request_timeout_s or defaults.request_timeout_s,
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
        connection = build_dataclass(Connection, raw, problems=problems)
    except OSError as error:
        problems.append(make_problem("(file)", str(path), f"{error.strerror}"))
    except msgspec.DecodeError as error:
        problems.append(make_problem("(file)", str(path), str(error)))
    if connection is None or problems:
        raise CommandFailed(
            exit_code=ExitCode.INVALID_INPUT,
            detail=f"profile {path} is invalid",
            problems=tuple(problems),
        )
    return connection
