"""A late copy of an answer is never taken for the answer to another request."""

import anyio
import pytest

from foxtailbank.fleet.worker import Worker
from foxtailbank.forward.worker_client import ReservationRefused
from foxtailbank.http1.failures import ExchangeFailed, MalformedResponse
from foxtailbank_platform import headers as header_names
from foxtailbank_platform.worker_client import (
    MAX_SKIPPED_RESPONSES,
    HttpWorkerClient,
)
from raw_worker import CLOCK, End, RawAnswer, RawServer, running_servers, worker_at
from serving_fakes import make_call

pytestmark = pytest.mark.anyio
TIMEOUT_MS = 2_000
SETTLE_S = 0.05
FIRST = "first"
SECOND = "second"


def answer(request_id, status=200, body=b"", *, not_run=False):
    """Encode an answer; without an id if it is empty."""
    lines = [b"HTTP/1.1 %d x" % status, b"Content-Length: %d" % len(body)]
    if request_id:
        lines.append(f"{header_names.REQUEST_ID}: {request_id}".encode())
    if not_run:
        lines.append(f"{header_names.NOT_EXECUTED}: 1".encode())
    if status == 200:
        lines.append(f"{header_names.RESPONSE_STAMP}: s".encode())
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def refusal(request_id):
    return answer(request_id, 503, not_run=True)


def keep(*data):
    return RawAnswer(data=b"".join(data), end=End.KEEP)


async def send(client, worker, request_id, *, after_s=SETTLE_S):
    """Send a request; return status, whether it says not run, and the body."""
    await anyio.sleep(after_s)
    call = make_call(
        CLOCK, request_id=request_id, headers=((header_names.REQUEST_ID, request_id),)
    )
    async with client.exchange(
        worker,
        call,
        remaining_ms=TIMEOUT_MS,
        head_timeout_ms=TIMEOUT_MS,
        resume_after="",
    ) as response:
        body = b"" if response.not_run else await response.read_all(TIMEOUT_MS)
        return response.status, response.not_run, body


@pytest.mark.parametrize(
    "copy",
    [
        pytest.param(refusal(FIRST), id="refusal"),
        pytest.param(answer(FIRST, 421), id="misdirected"),
        pytest.param(answer(FIRST, 500, b"failed"), id="error"),
        pytest.param(answer(FIRST, 200, b"other"), id="success"),
        pytest.param(refusal(FIRST) * MAX_SKIPPED_RESPONSES, id="several"),
    ],
)
# Guards against "not run" for a request that a worker runs (review/2).
async def test_a_copy_before_an_answer_is_skipped(copy):
    server = RawServer(
        keep(answer(FIRST)),
        keep(copy, answer(SECOND, body=b"mine")),
        keep(answer("third", body=b"next")),
    )
    async with running_servers(server):
        client = HttpWorkerClient(clock=CLOCK)
        worker = worker_at(server)
        await send(client, worker, FIRST)
        assert await send(client, worker, SECOND) == (200, False, b"mine")
        # The connection may bring more copies, so it carries nothing any more.
        assert await send(client, worker, "third") == (200, False, b"next")
    assert server.connections == 2


# The answer may come long after the copy.
async def test_a_refusal_that_follows_a_copy_counts():
    server = RawServer(
        keep(answer(FIRST)), keep(answer(FIRST, body=b"x" * 9_000), refusal(SECOND))
    )
    async with running_servers(server):
        client = HttpWorkerClient(clock=CLOCK)
        await send(client, worker_at(server), FIRST)
        status, not_run, _ = await send(client, worker_at(server), SECOND)
    assert (status, not_run) == (503, True)


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(refusal(""), id="refusal-without-id"),
        pytest.param(answer("", 421), id="misdirected-without-id"),
        pytest.param(answer("", 200, b"x"), id="success-without-id"),
        pytest.param(answer("", 500, b"x"), id="error-without-id"),
        pytest.param(refusal(FIRST), id="copy-alone"),
        pytest.param(refusal(FIRST) * (MAX_SKIPPED_RESPONSES + 1), id="many-copies"),
    ],
)
# An answer without the id says neither that the request ran nor that it did not.
async def test_an_answer_of_unknown_origin_says_nothing(data):
    server = RawServer(RawAnswer(data=data))
    async with running_servers(server):
        with pytest.raises(ExchangeFailed):
            await send(HttpWorkerClient(clock=CLOCK), worker_at(server), SECOND)


@pytest.mark.parametrize("first", [refusal(FIRST), answer(FIRST, 500)])
# Guards against a copy of an answer to an earlier try of the same request.
async def test_a_request_tried_again_uses_another_connection(first):
    server = RawServer(keep(first), keep(answer(SECOND)), keep(answer(FIRST)))
    async with running_servers(server):
        client = HttpWorkerClient(clock=CLOCK)
        worker = worker_at(server)
        await send(client, worker, FIRST)
        await send(client, worker, SECOND)
        assert server.connections == 1
        assert (await send(client, worker, FIRST))[0] == 200
        assert server.connections == 2


# Bytes after a complete answer belong to no request; that connection is finished.
async def test_bytes_after_an_answer_finish_the_connection():
    server = RawServer(keep(answer(FIRST), refusal(FIRST)), keep(answer(SECOND)))
    async with running_servers(server):
        client = HttpWorkerClient(clock=CLOCK)
        await send(client, worker_at(server), FIRST)
        status, _, _ = await send(client, worker_at(server), SECOND)
    assert (status, server.connections) == (200, 2)


async def reserve(client, worker: Worker):
    await anyio.sleep(SETTLE_S)
    return await client.reserve(
        worker, tokens=1, lifetime_ms=100, timeout_ms=TIMEOUT_MS
    )


def hold(name):
    body = b'{"hold":"%s"}' % name
    return b"HTTP/1.1 200 x\r\nContent-Length: %d\r\n\r\n" % len(body) + body


# Answers to reservations bear no id, so that a copy of one can't be told apart.
async def test_reservations_have_connections_of_their_own():
    server = RawServer(keep(hold(b"a")), keep(answer(FIRST)), keep(hold(b"b")))
    async with running_servers(server):
        client = HttpWorkerClient(clock=CLOCK)
        worker = worker_at(server)
        assert await reserve(client, worker) == "a"
        await send(client, worker, FIRST)
        assert await reserve(client, worker) == "b"
    assert server.connections == 2


# A copy of a refusal must not count as the answer to a reservation.
async def test_an_answer_to_a_request_says_nothing_about_a_reservation():
    server = RawServer(keep(refusal(FIRST)))
    async with running_servers(server):
        with pytest.raises(MalformedResponse) as raised:
            await reserve(HttpWorkerClient(clock=CLOCK), worker_at(server))
    assert not isinstance(raised.value, ReservationRefused)
