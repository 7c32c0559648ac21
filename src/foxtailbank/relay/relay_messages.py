"""What two VMs tell each other, in headers, of a request that one carries out."""

import base64
import enum
import typing as t

import msgspec

from foxtailbank.decoding import decoding
from foxtailbank.exceptions import FoxtailbankError
from foxtailbank.fleet.stream_origin import StreamOrigin

ATTEMPT_HEADER = "foxtailbank-relay"
RESULT_HEADER = "foxtailbank-relay-result"


class RelayMessageInvalid(FoxtailbankError):
    """A header that VMs exchange is missing or malformed."""

    code = "relay_message_invalid"
    status = 400


class RelayOutcome(enum.Enum):
    """What the response to a relayed attempt is.

    Attributes
    ----------
    ANSWERED
        The answer of a worker.
    REFUSED
        The request has not run; another VM would hardly do better.
    UNABLE
        The request has not run, for a reason that concerns this VM alone.
    FAILED
        The request may have run.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    UNABLE = "unable"
    FAILED = "failed"


class RelayedAttempt(msgspec.Struct, frozen=True, kw_only=True):
    """One attempt of a request that another VM is asked to carry out.

    Attributes
    ----------
    vm_id : str
        VM that the client asked.
    remaining_ms : int
        Remaining time of the caller.
    tried : tuple of str
        Ids of workers that must not get the request again.
    resume_after : str
        Id of the last event that the client has; empty for none.
    origin : StreamOrigin or None
        Software that wrote the client's events, if it is known.
    key_hash : str
        Hash of the key that the request bore; empty if it needed none.
    """

    vm_id: str
    remaining_ms: int
    tried: tuple[str, ...] = ()
    resume_after: str = ""
    origin: StreamOrigin | None = None
    key_hash: str = ""


class RelayResult(msgspec.Struct, frozen=True, kw_only=True):
    """What the head of the response says of an attempt.

    Attributes
    ----------
    outcome : RelayOutcome
        What the response is.
    worker_id : str
        Worker that the request was sent to; empty for none.
    origin : StreamOrigin or None
        Software of that worker.
    reason : str
        Why there is no answer of a worker.
    wait_ms : int
        Expected wait until the request could run.
    request_id : str
        Id of the request; empty if it has none, and in answers of earlier releases.
    """

    outcome: RelayOutcome
    worker_id: str = ""
    origin: StreamOrigin | None = None
    reason: str = ""
    wait_ms: int = 0
    request_id: str = ""


Message = t.TypeVar("Message", RelayedAttempt, RelayResult)


def encode(message: RelayedAttempt | RelayResult) -> str:
    """Return the value of the header that carries a message."""
    return base64.urlsafe_b64encode(msgspec.msgpack.encode(message)).decode("ascii")


def decode(value: str, kind: type[Message]) -> Message:
    """Decode the value of a header.

    Raises
    ------
    RelayMessageInvalid
        It does not hold a message of this kind.
    """
    with decoding(RelayMessageInvalid):
        encoded = base64.urlsafe_b64decode(value.encode("ascii"))
        return msgspec.msgpack.decode(encoded, type=kind)
