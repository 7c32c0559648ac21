"""Failures, one type each, and what they say to a caller."""

import enum


class Ran(enum.Enum):
    """Whether a refused request may have run on an endpoint."""

    NO = "no"
    UNKNOWN = "unknown"


class FoxtailbankError(Exception):
    """Base of every failure of the system.

    Parameters
    ----------
    detail : str
        What happened, for a person.
    retry_after_ms : int
        Milliseconds after which a new try is welcome; 0 if never.
    ran : Ran
        Whether the request may have run.
    """

    code = "internal"
    kind = "server_error"
    status = 500

    def __init__(
        self, *, detail: str = "", retry_after_ms: int = 0, ran: Ran = Ran.NO
    ) -> None:
        super().__init__(detail or self.code)
        self.detail = detail or self.code
        self.retry_after_ms = retry_after_ms
        self.ran = ran


class InvalidRequest(FoxtailbankError):
    """The request is malformed."""

    code = "invalid_request"
    kind = "invalid_request_error"
    status = 400


class BodyTooLarge(InvalidRequest):
    """The request body exceeds its bound."""

    code = "body_too_large"
    status = 413


class MissingKey(FoxtailbankError):
    """No key or an unknown key was given."""

    code = "invalid_api_key"
    kind = "authentication_error"
    status = 401


class Forbidden(FoxtailbankError):
    """The key's owner may not use this entry."""

    code = "forbidden"
    kind = "permission_error"
    status = 403


class NotFound(FoxtailbankError):
    """The named thing does not exist."""

    code = "not_found"
    kind = "invalid_request_error"
    status = 404


class ModelNotFound(NotFound):
    """No catalogue entry of this owner serves the model."""

    code = "model_not_found"


class IdempotencyConflict(FoxtailbankError):
    """The idempotency key was used before with different content."""

    code = "idempotency_conflict"
    kind = "invalid_request_error"
    status = 409


class VersionConflict(FoxtailbankError):
    """The entry changed since the version that the edit was based on."""

    code = "version_conflict"
    kind = "invalid_request_error"
    status = 409


class RateLimited(FoxtailbankError):
    """A limit of the owner or entry is used up."""

    code = "rate_limited"
    kind = "rate_limit_error"
    status = 429


class Overloaded(FoxtailbankError):
    """No endpoint can take the request in time."""

    code = "overloaded"
    kind = "overloaded_error"
    status = 503


class NoEndpoint(FoxtailbankError):
    """No live endpoint serves the entry."""

    code = "no_endpoint"
    kind = "overloaded_error"
    status = 503


class Quarantined(FoxtailbankError):
    """The request took down endpoints before and is refused for a while."""

    code = "quarantined"
    kind = "invalid_request_error"
    status = 422


class LogUnavailable(FoxtailbankError):
    """The platform's log cannot be reached, or has not confirmed in time."""

    code = "log_unavailable"
    kind = "server_error"
    status = 503


class PlatformUnavailable(FoxtailbankError):
    """The platform's VM list or weight store gave no answer."""

    code = "platform_unavailable"
    status = 503


class OffsetExpired(FoxtailbankError):
    """The wanted offset lies before the log's retention."""

    code = "offset_expired"


class NotReady(FoxtailbankError):
    """No state to serve from has reached the VM yet."""

    code = "not_ready"
    status = 503


class EndpointFailed(FoxtailbankError):
    """The endpoint broke off or failed after the request reached it."""

    code = "endpoint_failed"
    status = 502

    def __init__(
        self, *, detail: str = "", retry_after_ms: int = 0, ran: Ran = Ran.UNKNOWN
    ) -> None:
        super().__init__(detail=detail, retry_after_ms=retry_after_ms, ran=ran)


class EndpointRefused(FoxtailbankError):
    """The endpoint did not admit the request."""

    code = "endpoint_refused"
    status = 503


class OutcomeUnknown(EndpointFailed):
    """A non-idempotent request may or may not have run; it is not repeated."""

    code = "outcome_unknown"


class DeadlineExceeded(EndpointFailed):
    """The request's deadline passed."""

    code = "deadline_exceeded"
    status = 504


class SettingsInvalid(FoxtailbankError):
    """Settings or a catalogue entry failed their check."""

    code = "settings_invalid"
    kind = "invalid_request_error"
    status = 422


class CallerGone(FoxtailbankError):
    """The caller closed its connection before the answer's end."""

    code = "caller_gone"
    status = 499


class EndpointStalled(EndpointFailed):
    """An open connection to the endpoint stopped delivering bytes."""

    code = "endpoint_stalled"
    status = 504


class PeerError(FoxtailbankError):
    """A message to or from another entry VM failed."""

    code = "peer_error"
    status = 503


class FrameInvalid(PeerError):
    """A frame or datagram failed its authentication or could not be decoded."""

    code = "peer_frame_invalid"


class FrameTooLarge(PeerError):
    """A frame or datagram exceeds its bound."""

    code = "peer_frame_too_large"


class MessageUnsupported(PeerError):
    """A message kind or schema version is not known to its receiver."""

    code = "peer_message_unsupported"


class PeerUnreachable(PeerError):
    """No connection to the peer could be opened, or it broke."""

    code = "peer_unreachable"


class PeerTimeout(PeerError):
    """The peer gave no answer within the deadline."""

    code = "peer_timeout"


class PeerQueueFull(PeerError):
    """Too many messages to the peer wait to be sent."""

    code = "peer_queue_full"


class PeerRefused(PeerError):
    """The peer refused the request."""

    code = "peer_refused"
