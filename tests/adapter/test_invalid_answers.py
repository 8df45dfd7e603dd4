"""Guards against answers without a valid status, and ends that do not complete an answer."""

import pytest

from adapter_harness import answer, chunk, request, stream_head

NOT_RUN = {"Skylarkmoor_Not_Executed": "1", "Server_Leaving": "1", "Retry_After": "9"}
STATUSES = ["000", "0", "00", "20", "099", "600", "999", "0200", "2000", "+200", "-20", "2x0"]
EVENT = b"id: 1\ndata: a\n\n"


@pytest.fixture
def orders(harness):
    for number in (1, 2):
        harness.add_upstream(f"o{number}", "orders", number)
        harness.add_upstream(f"e{number}", "assistant", 10 + number)
    return harness


@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize("headers", [{}, NOT_RUN], ids=["plain", "not executed"])
@pytest.mark.parametrize("path", ["/order/1", "/answer/1"])
def test_an_invalid_status_fails_a_request_that_may_have_run(orders, status, headers, path):
    """Statuses 600 and 999 reached the caller, and were retried if a header said so (MIXED)."""
    caller = orders.caller()
    caller.send(request(path, "POST", b"x", Skylarkmoor_Deadline_Ms="700"))
    orders.accept().send(answer(b"ok", f"{status} Odd", **headers))
    orders.advance(25)
    assert caller.received().startswith(b"HTTP/1.1 502 ")
    assert orders.pending_connections() == 0


@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize("headers", [{}, NOT_RUN], ids=["plain", "not executed"])
def test_an_invalid_status_has_an_idempotent_request_retried(orders, status, headers):
    caller = orders.caller()
    caller.send(request("/stock/1"))
    first = orders.accept()
    first.send(answer(b"ok", f"{status} Odd", **headers))
    assert first.transport.aborted
    orders.accept().send(answer(b"second"))
    response = caller.received()
    assert response.startswith(b"HTTP/1.1 200 ")
    assert response.endswith(b"second")
    placed = orders.gateway.placement.upstreams
    assert not any(placed[name].leaving for name in ("o1", "o2"))


@pytest.mark.parametrize("status", ["600", "999", "000"])
def test_an_invalid_status_does_not_end_a_stream_that_is_resumed(orders, status):
    caller = orders.caller()
    caller.send(request("/brief/1", Skylarkmoor_Deadline_Ms="9000"))
    first = orders.accept()
    first.send(stream_head() + chunk(EVENT))
    first.close(reset=True)
    orders.accept().send(answer(EVENT, f"{status} Odd", **NOT_RUN))
    orders.advance(25)
    assert caller.transport.aborted


@pytest.mark.parametrize("status", ["200 OK", "404 Not Found", "503 Full", "599 Odd"])
def test_a_valid_status_is_passed_on(orders, status):
    caller = orders.caller()
    caller.send(request("/order/1", "POST", b"x"))
    orders.accept().send(answer(b"body", status))
    response = caller.received()
    assert response.startswith(b"HTTP/1.1 " + status[:4].encode())
    assert response.endswith(b"body")


@pytest.mark.parametrize("path", ["/order/1", "/answer/1"])
@pytest.mark.parametrize("version", [b"HTTP/1.1", b"HTTP/1.0"])
@pytest.mark.parametrize("prefix", [b"", b"HTTP/1.1 100 Continue\r\n\r\n"])
@pytest.mark.parametrize("is_sent", [True, False])
def test_an_answer_that_was_cut_short_is_not_passed_on(orders, path, version, prefix, is_sent):
    """An orderly close completed an answer to a request that was not sent yet (MIXED)."""
    caller = orders.caller()
    caller.send(request(path, "POST", b"x" * 3_000, Skylarkmoor_Deadline_Ms="700"))
    upstream = orders.take_connection().accept(has_unsent=not is_sent)
    data = answer(b"", Content_Length="") + EVENT
    upstream.send(prefix + data.replace(b"HTTP/1.1", version))
    upstream.close(reset=is_sent)
    orders.advance(25)
    response = caller.received()
    # A stream has begun, so that its caller can only be shown the break.
    assert caller.transport.aborted or response.startswith(b"HTTP/1.1 502 ")
    assert path == "/answer/1" or response.startswith(b"HTTP/1.1 502 ")
