"""Exception types and the error codes and statuses that callers receive."""

import enum


class Ran(enum.Enum):
    """Whether a failed request may have run on an endpoint."""

    NO = "no"
    UNKNOWN = "unknown"


class FoxtailbankError(Exception):
    """Base class of all errors raised by the system.

    Parameters
    ----------
    detail : str
        Human-readable description; the code by default.
    retry_after_ms : int
        Milliseconds after which the caller may retry; 0 if it should not.
    ran : Ran
        Whether the request may have run on an endpoint.
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
    """The request body exceeds the size limit."""

    code = "body_too_large"
    status = 413


class InvalidApiKey(FoxtailbankError):
    """The API key is missing or unknown."""

    code = "invalid_api_key"
    kind = "authentication_error"
    status = 401


class Forbidden(FoxtailbankError):
    """The owner of the API key may not use this entry."""

    code = "forbidden"
    kind = "permission_error"
    status = 403


class NotFound(FoxtailbankError):
    """The requested resource does not exist."""

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
    """The entry has changed since the version that the edit is based on."""

    code = "version_conflict"
    kind = "invalid_request_error"
    status = 409


class RateLimited(FoxtailbankError):
    """A limit of the owner or entry is exhausted."""

    code = "rate_limited"
    kind = "rate_limit_error"
    status = 429


class Overloaded(FoxtailbankError):
    """No endpoint can accept the request in time."""

    code = "overloaded"
    kind = "overloaded_error"
    status = 503


class NoEndpoint(FoxtailbankError):
    """No live endpoint serves the entry."""

    code = "no_endpoint"
    kind = "overloaded_error"
    status = 503


class Quarantined(FoxtailbankError):
    """The request has crashed endpoints before and is refused temporarily."""

    code = "quarantined"
    kind = "invalid_request_error"
    status = 422


class LogUnavailable(FoxtailbankError):
    """The platform's log is unreachable or did not confirm in time."""

    code = "log_unavailable"
    kind = "server_error"
    status = 503


class PlatformUnavailable(FoxtailbankError):
    """The platform's VM list or weight store did not answer."""

    code = "platform_unavailable"
    status = 503


class OffsetExpired(FoxtailbankError):
    """The requested offset is past the log's retention."""

    code = "offset_expired"


class NotReady(FoxtailbankError):
    """The VM has not yet received the state that it needs to serve."""

    code = "not_ready"
    status = 503


class EndpointFailed(FoxtailbankError):
    """The endpoint failed or disconnected after the request reached it."""

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
    """A non-idempotent request may or may not have run; it is not retried."""

    code = "outcome_unknown"


class DeadlineExceeded(EndpointFailed):
    """The request's deadline passed."""

    code = "deadline_exceeded"
    status = 504


class SettingsInvalid(FoxtailbankError):
    """Settings or a catalogue entry failed validation."""

    code = "settings_invalid"
    kind = "invalid_request_error"
    status = 422


class CallerDisconnected(FoxtailbankError):
    """The caller disconnected before the response was complete."""

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
    """A frame or datagram failed authentication or could not be decoded."""

    code = "peer_frame_invalid"


class FrameTooLarge(PeerError):
    """A frame or datagram exceeds the size limit."""

    code = "peer_frame_too_large"


class MessageUnsupported(PeerError):
    """The receiver does not support the message kind or schema version."""

    code = "peer_message_unsupported"


class PeerUnreachable(PeerError):
    """The connection to the peer could not be opened or was lost."""

    code = "peer_unreachable"


class PeerTimeout(PeerError):
    """The peer did not answer before the deadline."""

    code = "peer_timeout"


class PeerQueueFull(PeerError):
    """The send queue for the peer is full."""

    code = "peer_queue_full"


class PeerRefused(PeerError):
    """The peer refused the request."""

    code = "peer_refused"
