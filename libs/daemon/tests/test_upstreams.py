"""Guards against an upstream client that reports a sent request as unsent.

It also guards against failures of upstreams that are classified wrongly.
"""

import json
import socket

import pytest
import pytest_twisted

from skylarkmoor_core.clock import ManualClock
from skylarkmoor_core.errors import UpstreamError
from skylarkmoor_core.ids import AttemptId, Offset, UpstreamId, VersionId
from skylarkmoor_core.settings import Address
from skylarkmoor_policy.requests import AttemptResult

_ATTEMPT = AttemptId("r.1")


class FakeUpstream:
    """An upstream that answers each request with fixed bytes, or closes the connection."""

    def __init__(self, answer):
        from twisted.internet import reactor
        from twisted.internet.protocol import Factory, Protocol

        received = self.received = []

        class Server(Protocol):
            def connectionMade(self):  # noqa: N802
                received.append(b"")

            def dataReceived(self, data):  # noqa: N802
                received[-1] += data
                head, _, body = received[-1].partition(b"\r\n\r\n")
                if not body.endswith(b"}") and not head.startswith(b"GET"):
                    return
                if answer is not None:
                    self.transport.write(answer)
                self.transport.loseConnection()

        factory = Factory.forProtocol(Server)
        factory.noisy = False
        self.port = reactor.listenTCP(0, factory, interface="127.0.0.1")

    def client(self):
        return _client(self.port.getHost().port)


def _client(port):
    from twisted.internet import reactor

    from skylarkmoor_daemon.upstreams import UpstreamClient

    clock = ManualClock(1_000, wall_offset_ms=500_000)
    return UpstreamClient(UpstreamId("up"), Address("127.0.0.1", port), reactor, clock)


@pytest_twisted.async_yield_fixture
async def fake_upstream():
    fake_upstreams = []

    def start(answer):
        fake_upstreams.append(FakeUpstream(answer))
        return fake_upstreams[-1]

    yield start
    for started in fake_upstreams:
        await started.port.stopListening()


def _http_response(status, body, extra=""):
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(data)}\r\n{extra}\r\n"
    return head.encode() + data


async def _call(client, may_send=None):
    return await client.call(
        _ATTEMPT,
        "order",
        b'{"n":1}',
        timeout_ms=2_000,
        deadline_wall_ms=5_000,
        may_send=may_send,
    )


async def _call_failure(client, may_send=None):
    from skylarkmoor_daemon.upstreams import attempt_result

    with pytest.raises(UpstreamError) as caught:
        await _call(client, may_send)
    return caught.value.sent, attempt_result(caught.value)


@pytest_twisted.ensureDeferred
async def test_call_returns_the_result_as_it_was_sent(fake_upstream):
    upstream = fake_upstream(_http_response(200, b'{"attempt":"r.1","result":{"a" : 1}}'))
    assert await _call(upstream.client()) == b'{"a" : 1}'
    assert b"X-Deadline-Ms: 5000\r\n" in upstream.received[0]
    assert upstream.received[0].endswith(b'{"attempt":"r.1","route":"order","body":{"n":1}}')


@pytest_twisted.ensureDeferred
async def test_result_with_neither_a_length_nor_chunks_is_returned(fake_upstream):
    """The call was reported as crashed although it had run, and its answer was lost."""
    head = b"HTTP/1.1 200 OK\r\n\r\n"
    upstream = fake_upstream(head + b'{"attempt":"r.1","result":{"a" : 1}}')
    assert await _call(upstream.client()) == b'{"a" : 1}'


@pytest_twisted.ensureDeferred
async def test_refused_connection_is_reported_as_unsent():
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        client = _client(unused.getsockname()[1])
    assert await _call_failure(client) == (False, AttemptResult.NOT_STARTED)


@pytest_twisted.ensureDeferred
async def test_failed_check_before_sending_sends_no_byte(fake_upstream):
    upstream = fake_upstream(_http_response(200, {"attempt": "r.1", "result": 1}))
    assert await _call_failure(upstream.client(), lambda: False) == (
        False,
        AttemptResult.NOT_STARTED,
    )
    assert b"".join(upstream.received) == b""


@pytest.mark.parametrize(
    ("answer", "result"),
    [
        (None, AttemptResult.CRASHED),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{", AttemptResult.CRASHED),
        (b"HTTP/1.1 200 OK\r\n\r\n", AttemptResult.CRASHED),
        (b'HTTP/1.1 200 OK\r\n\r\n{"attempt":"r.1","result":{"a" : 1}', AttemptResult.CRASHED),
        (_http_response(200, {"attempt": "other", "result": 1}), AttemptResult.CRASHED),
        (_http_response(200, b"not json"), AttemptResult.CRASHED),
        (_http_response(500, {"error": "x"}), AttemptResult.FAILED),
        *(
            (_http_response(status, {}, "X-Leaving: 1\r\n"), AttemptResult.FAILED)
            for status in ("000", "099", "600", "999", "2000")
        ),
        (_http_response(302, {}, "Location: http://127.0.0.1:9/\r\n"), AttemptResult.FAILED),
    ],
)
@pytest_twisted.ensureDeferred
async def test_failure_after_the_first_byte_is_never_reported_as_unsent(
    fake_upstream, answer, result
):
    upstream = fake_upstream(answer)
    assert await _call_failure(upstream.client()) == (True, result)
    assert len(upstream.received) == 1


@pytest_twisted.ensureDeferred
async def test_response_timeout_is_distinguished_from_a_broken_connection():
    from twisted.internet import reactor
    from twisted.internet.protocol import Factory, Protocol

    factory = Factory.forProtocol(Protocol)
    factory.noisy = False
    port = reactor.listenTCP(0, factory, interface="127.0.0.1")
    assert await _call_failure(_client(port.getHost().port)) == (True, AttemptResult.FAILED)
    await port.stopListening()


@pytest_twisted.ensureDeferred
async def test_leaving_upstream_is_distinguished_from_an_overloaded_one(fake_upstream):
    leaving = fake_upstream(_http_response(503, {}, "X-Leaving: 1\r\n"))
    assert (await _call_failure(leaving.client()))[1] is AttemptResult.LEAVING
    busy = fake_upstream(_http_response(503, {}))
    assert (await _call_failure(busy.client()))[1] is AttemptResult.FAILED


@pytest_twisted.ensureDeferred
async def test_report_time_is_converted_to_the_monotonic_clock(fake_upstream):
    report = {"incarnation": 7, "as_of_ms": 500_900, "running": 1, "max_batch": 4}
    load, _ = await fake_upstream(_http_response(200, report)).client().report()
    assert load.as_of_ms == 900
    assert load.incarnation == 7


@pytest_twisted.ensureDeferred
async def test_old_fencing_token_is_returned_and_not_raised(fake_upstream):
    from skylarkmoor_daemon.upstreams import OrderAnswer, OrderKind

    client = fake_upstream(_http_response(409, {"error": "old"})).client()
    answer = await client.order(OrderKind.LOAD, VersionId("v2"), Offset(3))
    assert answer is OrderAnswer.STALE_TOKEN


@pytest.mark.parametrize("path", ["report", "events"])
@pytest_twisted.ensureDeferred
async def test_a_very_deeply_nested_answer_is_an_error_of_the_upstream(fake_upstream, path):
    """It raised RecursionError, and an upstream that sent it never counted as stalled."""
    body = b'{"new":' + b"[" * 100_000
    client = fake_upstream(_http_response(200, body)).client()
    with pytest.raises(UpstreamError):
        await (client.report() if path == "report" else client.events(0))
