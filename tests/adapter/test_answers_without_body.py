"""Guards against answers without a body that stop their connection for all later requests."""

import re

import h11
import pytest

from adapter_harness import answer, request


def without_body(data):
    """Return an answer without its body, which its head still announces."""
    return data.partition(b"\r\n\r\n")[0] + b"\r\n\r\n"


@pytest.fixture
def caller(harness):
    harness.add_upstream("o1", "orders", 81)
    return harness.caller()


@pytest.mark.parametrize("path", ["/none/1", "/stock/1", "/brief/1"])
def test_head_gets_the_head_of_an_error_and_the_connection_goes_on(harness, caller, path):
    """The parser refused the body, and the connection answered nothing any more (CONFIG)."""
    caller.send(request(path, "HEAD"))
    if path == "/stock/1":
        for _ in range(3):
            if harness.pending_connections():
                harness.accept().close(reset=True)
    harness.advance(2_000)
    received = caller.received()
    assert re.match(rb"HTTP/1\.1 [45]\d\d ", received)
    assert received.endswith(b"\r\n\r\n")
    assert received.count(b"HTTP/1.1") == 1
    caller.send(request("/stock/2", "GET"))
    harness.accept().send(answer(b"next"))
    assert caller.received().endswith(b"\r\n\r\nnext")


@pytest.mark.parametrize("method", ["HEAD", "GET"])
@pytest.mark.parametrize("status", ["200 OK", "204 No Content", "304 Not Modified", "500 Error"])
def test_an_answer_without_a_body_ends(harness, caller, method, status):
    caller.send(request("/stock/1", method))
    has_body = method == "GET" and status[:1] in "25" and not status.startswith("204")
    data = answer(b"body", status=status)
    upstream = harness.accept()
    upstream.send(data if has_body else without_body(data))
    received = caller.received()
    assert received.startswith(b"HTTP/1.1 " + status[:4].encode())
    assert received.endswith(b"\r\n\r\nbody" if has_body else b"\r\n\r\n")
    if method == "HEAD" and status.startswith("200"):
        assert b"Content-Length: 4\r\n" in received
    caller.send(request("/stock/2", "GET"))
    (harness.accept() if harness.pending_connections() else upstream).send(answer(b"next"))
    assert caller.received().endswith(b"\r\n\r\nnext")


def test_an_answer_that_cannot_be_written_closes_its_connection_only(harness, caller, monkeypatch):
    """The connection stayed open without an answer until the request's deadline."""

    def refuse(event):
        raise h11.LocalProtocolError("refused")

    other = harness.caller()
    caller.send(request("/stock/1", "GET"))
    upstream = harness.accept()
    monkeypatch.setattr(caller.connection._http, "send", refuse)
    upstream.send(answer(b"body"))
    assert caller.transport.aborted
    assert harness.gateway._exchanges == {}
    other.send(request("/stock/2", "GET"))
    (harness.accept() if harness.pending_connections() else upstream).send(answer(b"next"))
    assert other.received().endswith(b"\r\n\r\nnext")
