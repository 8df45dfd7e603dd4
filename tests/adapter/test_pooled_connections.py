"""Guards against pooled connections in a state that the next request on them cannot use."""

import pytest

from adapter_harness import answer, request

BUFFERED_BYTES = 256 * 1024


@pytest.fixture
def slow_caller(harness):
    """Return a caller whose transport pauses its producer at each write."""
    caller = harness.caller()
    write = caller.transport.write

    def write_and_pause(data):
        write(data)
        if caller.transport.producer is not None:
            caller.transport.producer.pauseProducing()

    caller.transport.write = write_and_pause
    return caller


@pytest.mark.parametrize("last", [1, 10, 5_000])
@pytest.mark.parametrize("beyond", [-1, 0, 1, 10, 100_000, 4 * 1024 * 1024])
def test_a_connection_that_a_slow_caller_paused_is_read_for_the_next_request(
    harness, slow_caller, beyond, last
):
    """The next request on it ran, and its caller got 504 as nothing read the answer."""
    harness.add_upstream("o1", "orders", 81)
    slow_caller.send(request("/order/1", "POST", b"x"))
    upstream = harness.accept()
    data = answer(b"x" * (BUFFERED_BYTES + beyond))
    upstream.send(data[:-last])
    upstream.send(data[-last:])
    assert slow_caller.received().endswith(b"x" * 1_000)
    assert upstream.transport.producerState == "producing"
    other = harness.caller()
    other.send(request("/order/2", "POST", b"x"))
    assert harness.pending_connections() == 0
    assert b"/order/2" in upstream.received()
    upstream.send(answer(b"ok"))
    assert other.received().endswith(b"ok")
