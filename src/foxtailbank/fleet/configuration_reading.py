"""What a VM has read of the configuration, as it tells its peers."""

import dataclasses

MAX_AGE_MS = 2**16 - 1  # fits into a report
_MARKS = 2**32 - 1  # as fit into a report, where 0 is for none


@dataclasses.dataclass(frozen=True, kw_only=True)
class ConfigurationReading:
    """A version of the configuration that was the newest some time ago.

    Attributes
    ----------
    mark : int
        The version, as given by `version_mark`.
    age_ms : int
        Milliseconds since it was the newest, at most.
    """

    mark: int
    age_ms: int

    def is_after(self, version: int) -> bool:
        """Whether its version is newer than another one."""
        ahead = (self.mark - version_mark(version)) % _MARKS
        return 0 < ahead < _MARKS // 2


def version_mark(version: int) -> int:
    """Return a version in as many bits as reports have; at least 1.

    Versions that follow each other have different marks.
    """
    return version % _MARKS + 1
