"""Bounds on what is read of a response, in bytes.

A faulty server may send bytes without end; what exceeds a bound is no response.
"""

MAX_HEAD_BYTES = 64 << 10  # with the interim responses before it
MAX_BODY_BYTES = 4 << 20  # a VM holds dozens of bodies at a time
MAX_REFUSAL_BYTES = 64 << 10
MAX_EVENT_BYTES = 256 << 10
MAX_STREAM_BYTES = 16 << 20  # a million tokens
MAX_RECORDS_BYTES = 16 << 20  # records of a log, of which several are read at once
