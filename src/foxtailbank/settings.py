"""Daemon settings, read from a TOML file and validated."""

import dataclasses
import pathlib

import msgspec

from foxtailbank.dataclass_builder import build_dataclass
from foxtailbank.problem import CheckFailed, Problem, make_problem
from foxtailbank.settings_check import check_settings
from foxtailbank.settings_sections import (
    AdminSection,
    LimitsSection,
    LogsSection,
    PeersSection,
    PlatformSection,
    PolicySection,
    TimingSection,
    VmSection,
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Settings:
    """Validated settings of a daemon.

    Attributes
    ----------
    vm : VmSection
        The entry VM itself.
    platform : PlatformSection
        Addresses of the platform's services.
    peers : PeersSection
        The other entry VMs.
    admin : AdminSection
        The administration API.
    limits : LimitsSection
        Limits on sizes, calls in flight and connections.
    logs : LogsSection
        The daemon's own log output.
    timing : TimingSection
        Periods and time limits.
    policy : PolicySection
        Routing and batch policies, for experiments.
    """

    vm: VmSection
    platform: PlatformSection
    peers: PeersSection
    admin: AdminSection
    limits: LimitsSection = dataclasses.field(default_factory=LimitsSection)
    logs: LogsSection = dataclasses.field(default_factory=LogsSection)
    timing: TimingSection = dataclasses.field(default_factory=TimingSection)
    policy: PolicySection = dataclasses.field(default_factory=PolicySection)


def load_settings(path: str | pathlib.Path) -> Settings:
    """Read and check a settings file and the secret files that it names.

    Parameters
    ----------
    path : str or Path
        TOML file; file names in it are relative to its directory.

    Returns
    -------
    Settings
        Settings with absolute paths of the secret files.

    Raises
    ------
    SettingsInvalid
        Raised as `CheckFailed`, which lists every problem found.
    """
    file = pathlib.Path(path)
    try:
        raw = msgspec.toml.decode(file.read_bytes())
    except OSError as error:
        reason = f"cannot be read: {error.strerror}"
        raise _check_failed([make_problem("(file)", str(file), reason)], file) from None
    except msgspec.DecodeError as error:
        raise _check_failed(
            [make_problem("(file)", str(file), f"{error}")], file
        ) from None
    problems: list[Problem] = []
    settings = build_dataclass(Settings, raw, problems=problems)
    problems.extend(check_settings(raw, directory=file.parent))
    if settings is None or problems:
        raise _check_failed(problems, file)
    return _with_absolute_paths(settings, file.parent.absolute())


def _check_failed(problems: list[Problem], file: pathlib.Path) -> CheckFailed:
    return CheckFailed(problems=tuple(problems), source=str(file))


def _with_absolute_paths(settings: Settings, directory: pathlib.Path) -> Settings:
    secret_file = str(directory / settings.peers.secret_file)
    key_file = str(directory / settings.admin.key_file)
    return dataclasses.replace(
        settings,
        peers=dataclasses.replace(settings.peers, secret_file=secret_file),
        admin=dataclasses.replace(settings.admin, key_file=key_file),
    )
