"""Answers that are none, or end before they are whole, as bytes of a server."""

import dataclasses

import pytest

from raw_worker import HEADERS, End, RawAnswer, chunked, sized, unframed

KB = 1_024
BODY = b"x" * 4_096
LARGE = b"x" * 1_000 * KB
OK = b"HTTP/1.1 200 OK\r\n"
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"


def reset_after(answer, pause_s):
    return dataclasses.replace(answer, end=End.RESET, reset_pause_s=pause_s)


def named(**answers):
    return [
        pytest.param(answer, id=name.replace("_", "-"))
        for name, answer in answers.items()
    ]


def with_status(status):
    data = b"HTTP/1.1 " + status + b" x\r\nContent-Length: 2\r\n" + HEADERS + b"\r\nok"
    return RawAnswer(data=data, end=End.CLOSE)


def cut_head(data):
    """Return the begin of a head, after which the server closes or resets."""
    return [RawAnswer(data=data, end=end) for end in (End.CLOSE, End.RESET)]


# Bodies that end before their end is told, by a reset or by a length or chunks.
CUT_BODIES = named(
    unframed_and_reset=reset_after(unframed(BODY[:1_500]), 0.05),
    unframed_and_reset_at_once=reset_after(unframed(BODY[:1_500]), 0.0),
    unframed_and_reset_late=reset_after(unframed(BODY[:1_500]), 0.6),
    large_unframed_and_reset=reset_after(unframed(LARGE[: 700 * KB]), 0.05),
    nothing_unframed_and_reset=reset_after(unframed(b""), 0.05),
    short_of_its_length_and_reset=sized(BODY[:1_500], length=4_096, end=End.RESET),
    short_of_its_length_and_closed=sized(BODY[:1_500], length=4_096, end=End.CLOSE),
    large_short_of_its_length=sized(
        LARGE[: 700 * KB], length=len(LARGE), end=End.CLOSE
    ),
    chunks_without_an_end_and_reset=chunked(BODY, last=b"", end=End.RESET),
    chunks_without_an_end_and_closed=chunked(BODY, last=b"", end=End.CLOSE),
    chunks_cut_within_the_last=chunked(BODY, last=b"0\r\n", end=End.CLOSE),
    after_interim_answers=RawAnswer(
        data=INTERIM + unframed(BODY[:1_500]).data, end=End.RESET
    ),
    http_1_0_and_reset=RawAnswer(
        data=b"HTTP/1.0 200 OK\r\n" + HEADERS + b"\r\nxx", end=End.RESET
    ),
    http_1_0_short_of_its_length=RawAnswer(
        data=b"HTTP/1.0 200 OK\r\nContent-Length: 9\r\n" + HEADERS + b"\r\nxx"
    ),
)
# Statuses that are none: HTTP has those from 100 to 599, in three digits.
ODD_STATUSES = [
    pytest.param(with_status(status), id=f"status-{status.decode()}")
    for status in (b"000", b"099", b"20", b"2000", b"+20", b"600", b"999", b"-20")
]
_LINE_FEEDS = HEADERS.replace(b"\r\n", b"\n")
CUT_HEADS = [
    pytest.param(answer, id=f"{name}-and-{answer.end.value}")
    for name, data in (
        ("nothing", b""),
        ("within-the-version", b"HTTP/1."),
        ("after-the-status", b"HTTP/1.1 200"),
        ("after-the-status-line", OK),
        ("within-a-field", OK + HEADERS + b"X-Oth"),
        ("before-the-empty-line", OK + b"Content-Length: 0\r\n" + HEADERS),
        ("before-its-line-feed", OK + b"Content-Length: 0\r\n" + HEADERS + b"\r"),
        ("within-a-length", OK + HEADERS + b"Content-Length: 1"),
        ("within-a-coding", OK + HEADERS + b"Transfer-Encoding: chun"),
        ("line-feeds-alone", b"HTTP/1.1 200 OK\nContent-Length: 0\n" + _LINE_FEEDS),
        ("an-interim-answer", INTERIM),
        ("within-an-interim-answer", INTERIM[:30]),
    )
    for answer in cut_head(data)
]
ODD_ANSWERS = [*CUT_BODIES, *ODD_STATUSES, *CUT_HEADS]
