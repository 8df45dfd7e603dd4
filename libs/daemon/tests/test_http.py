"""Guards the HTTP API against accepting invalid requests, wrong outcomes and unbounded buffers."""

import msgspec
import pytest
import pytest_twisted

_CHAT_BODY = b'{"model": "everyday", "messages": [{"role": "user", "content": "hello"}]}'
_KEY_PREFIX = '"k"; issued='


@pytest_twisted.async_yield_fixture
async def cluster_with_body_limit(world, assistant, orders):
    """Run one daemon with both services and a body limit of 2,000 bytes."""
    world.engine("engine-1")
    world.plain("plain-1")
    limits = {"max_body_bytes": 2_000}
    world.publish({**assistant, "limits": limits})
    world.publish({**orders, "limits": limits})
    world.daemon("entry-1")
    await world.ready()
    yield world


async def _post_to_daemon(world, path, body, headers):
    return await world.web.ask("POST", world.urls["entry-1"] + path, body, headers)


@pytest.mark.parametrize(
    ("body", "headers", "status", "code"),
    [
        (b"{", {"X-Customer": "depot"}, 400, "malformed"),
        (b"\xff\xfe", {"X-Customer": "depot"}, 400, "malformed"),
        (b"[]", {"X-Customer": "depot"}, 400, "malformed"),
        (b'{"model": "everyday", "messages": []}', {"X-Customer": "depot"}, 400, "malformed"),
        (_CHAT_BODY.replace(b"everyday", b"poems"), {"X-Customer": "depot"}, 404, "unknown_route"),
        (_CHAT_BODY.replace(b"everyday", b"order"), {"X-Customer": "depot"}, 404, "unknown_route"),
        (_CHAT_BODY, {}, 403, "unknown_customer"),
        (_CHAT_BODY, {"X-Customer": "nobody"}, 403, "unknown_customer"),
        (_CHAT_BODY, {"X-Customer": "depot", "X-Deadline-Ms": "1000"}, 504, "deadline_passed"),
        (_CHAT_BODY, {"X-Customer": "depot", "X-Deadline-Ms": "soon"}, 400, "malformed"),
        (_CHAT_BODY + b" " * 3_000, {"X-Customer": "depot"}, 413, "body_too_large"),
    ],
)
@pytest_twisted.ensureDeferred
async def test_invalid_chat_request_is_refused_as_not_run(
    cluster_with_body_limit, body, headers, status, code
):
    answer = await _post_to_daemon(cluster_with_body_limit, "/v1/chat/completions", body, headers)
    assert answer.status == status
    assert answer.error() == (code, "not_run")
    assert cluster_with_body_limit.engines["engine-1"].served == []


@pytest.mark.parametrize(
    ("route", "body", "key", "code", "outcome"),
    [
        ("order", b"{}", None, "key_required", "not_run"),
        ("order", b"{", None, "malformed", "not_run"),
        ("order", b"{}", "k", "malformed", "unknown"),
        ("order", b"{}", _KEY_PREFIX + "1000", "key_expired", "unknown"),
        ("order", b"{}", _KEY_PREFIX + "99999999999999", "malformed", "unknown"),
        ("order", b"{", _KEY_PREFIX + "1000", "malformed", "unknown"),
        ("poems", b"{}", _KEY_PREFIX + "1000", "unknown_route", "unknown"),
        ("order", b'"' + b"x" * 3_000 + b'"', _KEY_PREFIX + "1000", "body_too_large", "unknown"),
    ],
)
@pytest_twisted.ensureDeferred
async def test_refusal_before_the_claim_is_unknown_only_with_a_key(
    cluster_with_body_limit, route, body, key, code, outcome
):
    headers = {"X-Customer": "depot"} | ({"Idempotency-Key": key} if key else {})
    answer = await _post_to_daemon(cluster_with_body_limit, f"/v1/call/{route}", body, headers)
    assert answer.error() == (code, outcome)
    assert cluster_with_body_limit.plains["plain-1"].calls == []


@pytest_twisted.ensureDeferred
async def test_chunked_body_over_the_limit_is_refused_while_it_is_read(cluster_with_body_limit):
    from twisted.internet import reactor
    from twisted.internet.defer import Deferred
    from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
    from twisted.internet.protocol import Protocol

    class ResponseCollector(Protocol):
        def __init__(self):
            self.data = b""
            self.closed = Deferred()

        def dataReceived(self, data):  # noqa: N802
            self.data += data

        def connectionLost(self, reason):  # noqa: N802
            self.closed.callback(None)

    port = int(cluster_with_body_limit.urls["entry-1"].rpartition(":")[2])
    client = await connectProtocol(
        TCP4ClientEndpoint(reactor, "127.0.0.1", port), ResponseCollector()
    )
    head = b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    client.transport.write(head + b"800\r\n" + b"x" * 0x800 + b"\r\n")
    client.closed.addTimeout(10, reactor)
    await client.closed
    assert client.data.startswith(b"HTTP/1.1 413 ")
    error = msgspec.json.decode(client.data.partition(b"\r\n\r\n")[2])["error"]
    assert (error["code"], error["outcome"]) == ("body_too_large", "not_run")


@pytest_twisted.ensureDeferred
async def test_json_answer_follows_the_chat_completion_schema(cluster_with_body_limit):
    answer = await cluster_with_body_limit.chat("entry-1", "hello answer_tokens=3")
    body = answer.json()
    assert answer.headers["content-type"] == "application/json"
    assert body["object"] == "chat.completion"
    assert body["model"] == "everyday"
    assert body["choices"][0]["message"]["role"] == "assistant"
    assert len(body["choices"][0]["message"]["content"].split()) == 3
    assert body["usage"] == {"prompt_tokens": 3, "completion_tokens": 3, "total_tokens": 6}
    assert body["id"] == answer.headers["x-request-id"]


@pytest_twisted.ensureDeferred
async def test_health_status_and_metrics_endpoints_respond(cluster_with_body_limit):
    url = cluster_with_body_limit.urls["entry-1"]
    await cluster_with_body_limit.chat("entry-1", "hello")
    assert (await cluster_with_body_limit.web.ask("GET", url + "/healthz")).status == 200
    assert (await cluster_with_body_limit.web.ask("GET", url + "/readyz")).status == 200
    status = (await cluster_with_body_limit.web.ask("GET", url + "/admin/status")).json()
    assert status["state"] == "alive"
    assert status["documents"] == {"assistant": 0, "orders": 1}
    metrics = (await cluster_with_body_limit.web.ask("GET", url + "/metrics")).body
    assert b'skylarkmoor_answers_total{code="ok",route="everyday",service="assistant"} 1' in metrics


@pytest_twisted.ensureDeferred
async def test_daemon_without_a_document_is_not_ready(world):
    world.daemon("entry-1")
    answer = await world.web.ask("GET", world.urls["entry-1"] + "/readyz")
    assert answer.status == 503
    assert (await world.chat("entry-1", "hello")).error() == ("not_ready", "not_run")


@pytest_twisted.ensureDeferred
async def test_slow_caller_pauses_the_upstream_and_gets_the_complete_answer(world, assistant):
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

    token_count = 60_000
    world.engine("engine-1", decode_ms=0.0, decode_ms_per_running=0.0, kv_capacity_tokens=10**6)
    assistant["routes"][0]["max_output_tokens"] = token_count
    world.publish({**assistant, "limits": {"max_answer_buffer_bytes": 10_000}})
    daemon = world.daemon("entry-1")
    await world.ready()
    port = int(world.urls["entry-1"].rpartition(":")[2])
    reader = await connectProtocol(TCP4ClientEndpoint(reactor, "127.0.0.1", port), SlowReader())
    chat = {
        "model": "everyday",
        "stream": True,
        "messages": [{"role": "user", "content": f"answer_tokens={token_count}"}],
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
    assert sink._buffered_bytes < 10_000 + 2 * 2**16
    reader.transport.resumeProducing()
    reader.closed.addTimeout(20, reactor)
    await reader.closed
    assert reader.data.count(b'"content"') == token_count
