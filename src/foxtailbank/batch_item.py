"""Conversion of batch job items to endpoint requests."""

import dataclasses
import typing as t

import msgspec

from foxtailbank.completion import CHAT_PATH, COMPLETIONS_PATH, parse_completion
from foxtailbank.entry import Entry, EntryKind
from foxtailbank.exceptions import InvalidRequest
from foxtailbank.quarantine import Fingerprint
from foxtailbank.vm_list import Vm
from foxtailbank.work import Work, fingerprint_of

JSON_HEADERS = (("content-type", "application/json"),)
STREAM_OPTIONS = {"include_usage": True}


class _Line(msgspec.Struct, frozen=True):
    custom_id: str
    body: msgspec.Raw
    method: str = "POST"
    url: str = COMPLETIONS_PATH


_decoder = msgspec.json.Decoder(_Line)
_body_decoder = msgspec.json.Decoder(dict[str, t.Any])


@dataclasses.dataclass(frozen=True, kw_only=True)
class BatchItem:
    """A parsed item that can be sent to an endpoint.

    Attributes
    ----------
    custom_id : str
        Identifier chosen by the caller.
    method, path : str
        HTTP method and path of the request to the endpoint.
    body : bytes
        Request body sent to the endpoint.
    tokens : int
        Maximum number of tokens to generate; 0 for a service.
    prefix_digest : int
        64-bit digest of the prompt's prefix; 0 for a service.
    fingerprint : Fingerprint
        Identifies the owner and the caller's body.
    """

    custom_id: str
    method: str
    path: str
    body: bytes
    tokens: int
    prefix_digest: int
    fingerprint: Fingerprint

    def work(
        self,
        *,
        entry: Entry,
        request_id: str,
        deadline_at_ms: int,
        resume_at: int,
        writer: Vm | None = None,
    ) -> Work:
        """Return the unit of work that runs the item.

        Parameters
        ----------
        entry : Entry
            Catalogue entry of the job.
        request_id : str
            Request id, the same on every hop.
        deadline_at_ms : int
            Time on `Clock.now_ms` after which the response is not needed.
        resume_at : int
            Index of the first token to return; earlier ones were received before.
        writer : Vm, optional
            Endpoint that wrote the earlier ones.
        """
        return Work(
            request_id=request_id,
            entry=entry,
            method=self.method,
            path=self.path,
            headers=JSON_HEADERS,
            body=self.body,
            streamed=entry.kind is EntryKind.ENGINE,
            batch=True,
            idempotent=entry.idempotent,
            fingerprint=self.fingerprint,
            prefix_digest=self.prefix_digest,
            max_tokens=self.tokens,
            deadline_at_ms=deadline_at_ms,
            resume_at=resume_at,
            writer=writer,
        )


def parse_batch_item(line: bytes, entry: Entry) -> BatchItem:
    """Parse one input line and check it against the entry.

    Parameters
    ----------
    line : bytes
        JSON object with ``custom_id`` and ``body``.
    entry : Entry
        Catalogue entry of the job.

    Raises
    ------
    InvalidRequest
        The line is malformed or the entry does not permit the request.
    """
    try:
        parsed = _decoder.decode(line)
    except msgspec.MsgspecError as error:
        raise InvalidRequest(detail=f"malformed item: {error}") from error
    body = bytes(parsed.body)
    if entry.kind is EntryKind.SERVICE:
        return BatchItem(
            custom_id=parsed.custom_id,
            method=parsed.method,
            path=parsed.url,
            body=body,
            tokens=0,
            prefix_digest=0,
            fingerprint=fingerprint_of(entry.owner, body),
        )
    if parsed.url not in (COMPLETIONS_PATH, CHAT_PATH):
        raise InvalidRequest(detail=f"unknown `url` {parsed.url!r}")
    completion = parse_completion(parsed.url, body)
    if completion.model != entry.model:
        raise InvalidRequest(detail=f"the entry serves `{entry.model}`")
    if completion.max_tokens > entry.limits.max_tokens:
        raise InvalidRequest(detail=f"`max_tokens` exceeds {entry.limits.max_tokens}")
    return BatchItem(
        custom_id=parsed.custom_id,
        method="POST",
        path=parsed.url,
        body=_with_streaming(body),
        tokens=completion.max_tokens,
        prefix_digest=completion.prefix_digest,
        fingerprint=fingerprint_of(entry.owner, body),
    )


def _with_streaming(body: bytes) -> bytes:
    content = _body_decoder.decode(body)
    content["stream"] = True
    content["stream_options"] = STREAM_OPTIONS
    return msgspec.json.encode(content)
