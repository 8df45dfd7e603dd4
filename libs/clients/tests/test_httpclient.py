"""Guards against truncated answers, and timeouts that are reported as something else."""

import pytest
import pytest_twisted
from klein import Klein
from twisted.internet.defer import Deferred

from skylarkmoor_clients.httpclient import PlatformHttp
from skylarkmoor_core.errors import PlatformError


def stall_before_the_head(request):
    return Deferred()


def stall_in_the_body(request):
    request.write(b"w")
    return Deferred()


@pytest_twisted.ensureDeferred
@pytest.mark.parametrize("answer", [stall_before_the_head, stall_in_the_body])
async def test_request_that_is_not_answered_in_time_says_so(serve, answer):
    """A silent log was reported as `no answer: CancelledError`, as if a task had been stopped."""
    app = Klein()

    @app.route("/slow")
    def slow(request):
        return answer(request)

    client = PlatformHttp(serve(app))
    with pytest.raises(PlatformError, match="GET .*/slow: no complete answer within 50 ms"):
        await client.request("GET", "/slow", timeout_ms=50, max_bytes=100)


@pytest_twisted.ensureDeferred
@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 200 OK\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n\r\nwhole",
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nwhole",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Le",
        b"HTTP/1.1 000 Odd\r\nContent-Length: 5\r\n\r\nwhole",
        b"HTTP/1.1 099 Odd\r\nContent-Length: 5\r\n\r\nwhole",
        b"HTTP/1.1 600 Odd\r\nContent-Length: 5\r\n\r\nwhole",
        b"HTTP/1.1 2000 Odd\r\nContent-Length: 5\r\n\r\nwhole",
    ],
)
async def test_answer_that_may_lack_its_end_or_has_no_status_is_an_error(answer):
    """Twisted does not tell whether a connection that ends an answer was closed or reset.

    It takes any number for a status.
    """
    from twisted.internet import reactor
    from twisted.internet.protocol import Factory, Protocol

    class Server(Protocol):
        def dataReceived(self, data):  # noqa: N802
            self.transport.write(answer)
            self.transport.loseConnection()

    factory = Factory.forProtocol(Server)
    factory.noisy = False
    port = reactor.listenTCP(0, factory, interface="127.0.0.1")
    client = PlatformHttp(f"http://127.0.0.1:{port.getHost().port}")
    try:
        with pytest.raises(PlatformError):
            await client.request("POST", "/", timeout_ms=2_000, max_bytes=100, body=b"{}")
        received = []
        with pytest.raises(PlatformError):
            await client.stream("/", received.append, idle_timeout_ms=2_000)
    finally:
        await client.close()
        await port.stopListening()


@pytest_twisted.ensureDeferred
async def test_a_head_without_end_does_not_use_up_the_memory():
    """Twisted bounds the lines of a head, but not their number."""
    from twisted.internet import reactor
    from twisted.internet.protocol import Factory, Protocol

    sent = 0

    class Server(Protocol):
        def dataReceived(self, data):  # noqa: N802
            self.transport.write(b"HTTP/1.1 200 OK\r\n")
            self.transport.registerProducer(self, False)

        def resumeProducing(self):  # noqa: N802
            nonlocal sent
            sent += 65_536
            self.transport.write(b"Name: xxx\r\n" * 5_958)

        def stopProducing(self):  # noqa: N802
            pass

    factory = Factory.forProtocol(Server)
    factory.noisy = False
    port = reactor.listenTCP(0, factory, interface="127.0.0.1")
    client = PlatformHttp(f"http://127.0.0.1:{port.getHost().port}")
    with pytest.raises(PlatformError, match="no answer"):
        await client.request("GET", "/", timeout_ms=5_000, max_bytes=100)
    # What the kernel holds on both sides counts as sent.
    assert sent < 16_000_000
    await port.stopListening()
