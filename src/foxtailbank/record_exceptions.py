"""Exceptions raised when a log record cannot be read."""

from foxtailbank.exceptions import FoxtailbankError


class UnsupportedRecord(FoxtailbankError):
    """The record requires a newer version; replay stops before it."""

    code = "unsupported_record"
    status = 503


class MalformedRecord(FoxtailbankError):
    """The record has no readable envelope; all versions skip it."""

    code = "malformed_record"
