"""Which reads of the log of texts return a set of texts."""

import dataclasses
import typing as t

from foxtailbank.submissions.records import TextLocation

MAX_SPAN_BYTES = 128 << 10  # some texts of usual size


@dataclasses.dataclass(frozen=True, kw_only=True)
class TextSpan:
    """Texts whose records follow each other, for one read.

    Attributes
    ----------
    locations : tuple of TextLocation
        In the order of their offsets.
    """

    locations: tuple[TextLocation, ...]

    @property
    def start(self) -> int:
        """Offset of the first record."""
        return self.locations[0].offset

    @property
    def size_bytes(self) -> int:
        """Size of the records, as in `KeyedRecord.size_bytes`."""
        return sum(map(_record_bytes, self.locations))


def plan_spans(locations: t.Iterable[TextLocation]) -> tuple[TextSpan, ...]:
    """Return the reads for some texts, each of neighbours within `MAX_SPAN_BYTES`."""
    groups: list[list[TextLocation]] = []
    size_bytes = 0
    for location in sorted(locations, key=lambda each: each.offset):
        size_bytes += _record_bytes(location)
        is_next = bool(groups) and groups[-1][-1].offset + 1 == location.offset
        if is_next and size_bytes <= MAX_SPAN_BYTES:
            groups[-1].append(location)
        else:
            groups.append([location])
            size_bytes = _record_bytes(location)
    return tuple(TextSpan(locations=tuple(group)) for group in groups)


def _record_bytes(location: TextLocation) -> int:
    return 1 + len(location.key.encode()) + location.size_bytes
