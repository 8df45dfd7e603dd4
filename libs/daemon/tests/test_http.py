"""Guards the callers' API against bad input, wrong outcomes and unbounded memory."""

import msgspec
import pytest
import pytest_twisted

_CHAT = b'{"model": "everyday", "messages": [{"role": "user", "content": "hello"}]}'
_KEY = '"k"; issued='


@pytest_twisted.async_yield_fixture
async def served(world, assistant, orders):
    """One daemon with both services; every body is limited to 2,000 bytes."""
    world.engine("engine-1")
    world.plain("plain-1")
    limits = {"max_body_bytes": 2_000}
    world.publish({**assistant, "limits": limits})
    world.publish({**orders, "limits": limits})
    world.daemon("entry-1")
    await world.ready()
    yield world


async def _post(world, path, body, headers):
    return await world.web.ask("POST", world.urls["entry-1"] + path, body, headers)


@pytest.mark.parametrize(
    ("body", "headers", "status", "code"),
    [
        (b"{", {"X-Customer": "depot"}, 400, "malformed"),
        (b"\xff\xfe", {"X-Customer": "depot"}, 400, "malformed"),
        (b"[]", {"X-Customer": "depot"}, 400, "malformed"),
        (b'{"model": "everyday", "messages": []}', {"X-Customer": "depot"}, 400, "malformed"),
        (_CHAT.replace(b"everyday", b"poems"), {"X-Customer": "depot"}, 404, "unknown_route"),
        (_CHAT.replace(b"everyday", b"order"), {"X-Customer": "depot"}, 404, "unknown_route"),
        (_CHAT, {}, 403, "unknown_customer"),
        (_CHAT, {"X-Customer": "nobody"}, 403, "unknown_customer"),
        (_CHAT, {"X-Customer": "depot", "X-Deadline-Ms": "1000"}, 504, "deadline_passed"),
        (_CHAT, {"X-Customer": "depot", "X-Deadline-Ms": "soon"}, 400, "malformed"),
        (_CHAT + b" " * 3_000, {"X-Customer": "depot"}, 413, "body_too_large"),
    ],
)
@pytest_twisted.ensureDeferred
async def test_bad_completion_is_refused_as_not_run(served, body, headers, status, code):
    answer = await _post(served, "/v1/chat/completions", body, headers)
    assert answer.status == status
    assert answer.error() == (code, "not_run")
    assert served.engines["engine-1"].served == []


@pytest.mark.parametrize(
    ("route", "body", "key", "code", "outcome"),
    [
        ("order", b"{}", None, "key_required", "not_run"),
        ("order", b"{", None, "malformed", "not_run"),
        ("order", b"{}", "k", "malformed", "unknown"),
        ("order", b"{}", _KEY + "1000", "key_expired", "unknown"),
        ("order", b"{}", _KEY + "99999999999999", "malformed", "unknown"),
        ("order", b"{", _KEY + "1000", "malformed", "unknown"),
        ("poems", b"{}", _KEY + "1000", "unknown_route", "unknown"),
        ("order", b'"' + b"x" * 3_000 + b'"', _KEY + "1000", "body_too_large", "unknown"),
    ],
)
@pytest_twisted.ensureDeferred
async def test_refusal_before_the_claim_is_unknown_if_there_is_a_key(
    served, route, body, key, code, outcome
):
    headers = {"X-Customer": "depot"} | ({"Idempotency-Key": key} if key else {})
    answer = await _post(served, f"/v1/call/{route}", body, headers)
    assert answer.error() == (code, outcome)
    assert served.plains["plain-1"].calls == []


@pytest_twisted.ensureDeferred
async def test_endless_body_is_refused_while_it_is_read(served):
    from twisted.internet import reactor
    from twisted.internet.defer import Deferred
    from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
    from twisted.internet.protocol import Protocol

    class Sender(Protocol):
        def __init__(self):
            self.data = b""
            self.closed = Deferred()

        def dataReceived(self, data):  # noqa: N802
            self.data += data

        def connectionLost(self, reason):  # noqa: N802
            self.closed.callback(None)

    port = int(served.urls["entry-1"].rpartition(":")[2])
    sender = await connectProtocol(TCP4ClientEndpoint(reactor, "127.0.0.1", port), Sender())
    head = b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    sender.transport.write(head + b"800\r\n" + b"x" * 0x800 + b"\r\n")
    sender.closed.addTimeout(10, reactor)
    await sender.closed
    assert sender.data.startswith(b"HTTP/1.1 413 ")
    error = msgspec.json.decode(sender.data.partition(b"\r\n\r\n")[2])["error"]
    assert (error["code"], error["outcome"]) == ("body_too_large", "not_run")


@pytest_twisted.ensureDeferred
async def test_whole_answer_has_the_published_shape(served):
    answer = await served.chat("entry-1", "hello answer_tokens=3")
    body = answer.json()
    assert answer.headers["content-type"] == "application/json"
    assert body["object"] == "chat.completion"
    assert body["model"] == "everyday"
    assert body["choices"][0]["message"]["role"] == "assistant"
    assert len(body["choices"][0]["message"]["content"].split()) == 3
    assert body["usage"] == {"prompt_tokens": 3, "completion_tokens": 3, "total_tokens": 6}
    assert body["id"] == answer.headers["x-request-id"]


@pytest_twisted.ensureDeferred
async def test_operators_see_state_and_metrics(served):
    url = served.urls["entry-1"]
    await served.chat("entry-1", "hello")
    assert (await served.web.ask("GET", url + "/healthz")).status == 200
    assert (await served.web.ask("GET", url + "/readyz")).status == 200
    status = (await served.web.ask("GET", url + "/admin/status")).json()
    assert status["state"] == "alive"
    assert status["documents"] == {"assistant": 0, "orders": 1}
    metrics = (await served.web.ask("GET", url + "/metrics")).body
    assert b'skylarkmoor_answers_total{code="ok",route="everyday",service="assistant"} 1' in metrics


@pytest_twisted.ensureDeferred
async def test_daemon_without_a_document_is_not_ready(world):
    world.daemon("entry-1")
    answer = await world.web.ask("GET", world.urls["entry-1"] + "/readyz")
    assert answer.status == 503
    assert (await world.chat("entry-1", "hello")).error() == ("not_ready", "not_run")


@pytest_twisted.ensureDeferred
async def test_slow_caller_pauses_the_upstream_and_gets_the_whole_answer(world, assistant):
    from twisted.internet import reactor
    from twisted.internet.defer import Deferred
    from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
    from twisted.internet.protocol import Protocol

    class SlowReader(Protocol):
        def __init__(self):
            self.data = b""
            self.closed = Deferred()

        def connectionMade(self):  # noqa: N802
            self.transport.pauseProducing()

        def dataReceived(self, data):  # noqa: N802
            self.data += data
            if b"[DONE]" in self.data:
                self.transport.loseConnection()

        def connectionLost(self, reason):  # noqa: N802
            self.closed.callback(None)

    tokens = 60_000
    world.engine("engine-1", decode_ms=0.0, decode_ms_per_running=0.0, kv_capacity_tokens=10**6)
    assistant["routes"][0]["max_output_tokens"] = tokens
    world.publish({**assistant, "limits": {"max_answer_buffer_bytes": 10_000}})
    daemon = world.daemon("entry-1")
    await world.ready()
    port = int(world.urls["entry-1"].rpartition(":")[2])
    reader = await connectProtocol(TCP4ClientEndpoint(reactor, "127.0.0.1", port), SlowReader())
    chat = {
        "model": "everyday",
        "stream": True,
        "messages": [{"role": "user", "content": f"answer_tokens={tokens}"}],
    }
    body = msgspec.json.encode(chat)
    reader.transport.write(
        b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Customer: depot\r\n"
        b"Connection: close\r\nContent-Length: %d\r\n\r\n" % len(body) + body
    )

    def paused():
        runs = daemon.services["assistant"]._runs.values()
        return any(run._attempt is not None and run._attempt.paused for run in runs)

    await world.until(paused)
    sink = next(iter(daemon.services["assistant"]._runs.values()))._sink
    assert sink._held_bytes < 10_000 + 2 * 2**16
    reader.transport.resumeProducing()
    reader.closed.addTimeout(20, reactor)
    await reader.closed
    assert reader.data.count(b'"content"') == tokens
