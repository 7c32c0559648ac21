"""Datagrams with which VMs ask for permits, grant them and pass buckets on.

Fields may be added at the end, with a default; releases that don't know them ignore
them.
"""

import typing as t

import msgspec

from foxtailbank.decoding import decoding
from foxtailbank.exceptions import FrameInvalid

MAX_DATAGRAM_BYTES = 1_200
MAX_NAME_CHARS = 255
MAX_PERMITS = 10_000  # in one message
MAX_UNUSED = 16  # earlier answers that a request names
MAX_WAIT_MS = 60_000
MAX_LIFE_MS = 1_000
_MAX_NUMBER = 2**63 - 1

_Name = t.Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_CHARS)]
_NameOrNone = t.Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARS)]
_Number = t.Annotated[int, msgspec.Meta(ge=0, le=_MAX_NUMBER)]
_Permits = t.Annotated[int, msgspec.Meta(ge=0, le=MAX_PERMITS)]


class UnusedPermits(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Permits of an earlier answer that were not used.

    Attributes
    ----------
    number : int
        Number of that answer.
    count : int
        Permits.
    """

    number: _Number
    count: _Permits


class PermitRequest(
    msgspec.Struct, frozen=True, array_like=True, kw_only=True, tag="request"
):
    """Asks the granting VM for permits.

    Attributes
    ----------
    vm_id : str
        The asking VM.
    incarnation : int
        Its process.
    number : int
        Counts the requests of that process; the same in a repetition.
    customer : str
        Name of the customer.
    needed : int
        Permits for which client requests wait.
    wanted : int
        Permits that will be used soon, these included; 0 to see whether the VM answers.
    refused : int
        Client requests that were refused since the last request for permits.
    unused : tuple of UnusedPermits
        Permits that expired.
    """

    vm_id: _Name
    incarnation: _Number
    number: _Number
    customer: _Name
    needed: _Permits = 0
    wanted: _Permits = 0
    refused: _Permits = 0
    unused: t.Annotated[
        tuple[UnusedPermits, ...], msgspec.Meta(max_length=MAX_UNUSED)
    ] = ()


class PermitAnswer(
    msgspec.Struct, frozen=True, array_like=True, kw_only=True, tag="answer"
):
    """Answers a request for permits.

    Attributes
    ----------
    vm_id : str
        The VM that answers.
    incarnation : int
        Its process.
    number : int
        Number of the request.
    customer : str
        Name of the customer.
    granting_vm : str
        The granting VM as the VM that answers sees it; itself if it granted.
    granted : int
        Permits.
    wait_ms : int
        Time until a further permit is likely; 0 if no client request has to wait.
    life_ms : int
        How long the permits may be used, from the sending of the request.
    stopping : bool
        Whether the VM that answers is shutting down.
    """

    vm_id: _Name
    incarnation: _Number
    number: _Number
    customer: _Name
    granting_vm: _NameOrNone = ""
    granted: _Permits = 0
    wait_ms: t.Annotated[int, msgspec.Meta(ge=0, le=MAX_WAIT_MS)] = 0
    life_ms: t.Annotated[int, msgspec.Meta(ge=0, le=MAX_LIFE_MS)] = 0
    stopping: bool = False


class BucketTransfer(
    msgspec.Struct, frozen=True, array_like=True, kw_only=True, tag="transfer"
):
    """Moves what is in a bucket to the new granting VM.

    Attributes
    ----------
    vm_id : str
        The former granting VM.
    incarnation : int
        Its process.
    number : int
        Counts its messages.
    customer : str
        Name of the customer.
    permits : int
        What the bucket held.
    stopping : bool
        Whether the former granting VM is shutting down.
    """

    vm_id: _Name
    incarnation: _Number
    number: _Number
    customer: _Name
    permits: _Permits
    stopping: bool = False


RateMessage = PermitRequest | PermitAnswer | BucketTransfer

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[RateMessage] = msgspec.msgpack.Decoder(RateMessage)


def encode(message: RateMessage) -> bytes:
    """Encode a message as a datagram."""
    return _encoder.encode(message)


def decode(datagram: bytes) -> RateMessage:
    """Decode a datagram.

    Raises
    ------
    FrameInvalid
        It is too long, malformed, or a field is out of bounds.
    """
    if len(datagram) > MAX_DATAGRAM_BYTES:
        raise FrameInvalid(detail=f"datagram of {len(datagram)} bytes")
    with decoding(FrameInvalid):
        return _decoder.decode(datagram)
