"""Application of records such that an error in one does not affect the others."""

import typing as t

from foxtailbank.events import Event
from foxtailbank.keyed_log import KeyedRecord
from foxtailbank.logs import LogFields, Logs
from foxtailbank.settings_sections import LogLevel
from foxtailbank.tasks import describe_error


def apply_each(
    records: t.Iterable[KeyedRecord],
    apply: t.Callable[[KeyedRecord], None],
    *,
    task: str,
    logs: Logs,
) -> None:
    """Apply records one by one; one that raises an unexpected error is skipped.

    Parameters
    ----------
    records : iterable of KeyedRecord
        Records in the order of the log.
    apply : callable
        Applies one record.
    task : str
        Name of what the records are about, for log lines.
    logs : Logs
        Receives a line for each record that could not be applied.
    """
    for record in records:
        try:
            apply(record)
        except Exception as error:
            fields = LogFields(
                task=task, offset=record.offset, reason=describe_error(error)
            )
            logs.write(Event.INTERNAL_ERROR, level=LogLevel.ERROR, fields=fields)
