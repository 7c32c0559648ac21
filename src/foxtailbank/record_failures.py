"""Failures of reading a record of the log."""

from foxtailbank.exceptions import FoxtailbankError


class UnsupportedRecord(FoxtailbankError):
    """The record needs a newer version of the system; replay stops before it."""

    code = "unsupported_record"
    status = 503


class MalformedRecord(FoxtailbankError):
    """The record has no readable envelope; every version leaves it out."""

    code = "malformed_record"
