"""Guards against misreported append outcomes and against records that block a reader."""

import json

import pytest
import pytest_twisted
from klein import Klein
from twisted.internet.defer import Deferred

from skylarkmoor_clients.logservice import LogClient, LogEntry, LogPage
from skylarkmoor_core.errors import LogOutage, LogRateLimited, PlatformError
from skylarkmoor_core.records import AuditEntry, encode_record

ENTRY = AuditEntry(who="mair", what="publish", before="1", after="2", at_ms=7)


def app_answering(method, answer):
    """Return an app whose record route calls `answer(request)`."""
    app = Klein()

    @app.route("/streams/<stream>/records", methods=[method])
    def records(request, stream):
        return answer(request)

    return app


def answer_with(status, body, headers=()):
    def answer(request):
        request.setResponseCode(status)
        for name, value in headers:
            request.setHeader(name, value)
        return body

    return answer


def page_json(records, first=0, next_offset=0):
    items = [{"offset": offset, "at_ms": 5, "data": data} for offset, data in records]
    return json.dumps({"records": items, "first": first, "next": next_offset})


@pytest_twisted.ensureDeferred
async def test_append_sends_the_record_and_returns_its_offset(serve):
    seen = []

    def answer(request):
        seen.append((request.path, request.content.read()))
        return b'{"offset": 41}'

    log = LogClient(serve(app_answering("POST", answer)))
    assert await log.append("audit", ENTRY) == 41
    assert seen == [(b"/streams/audit/records", encode_record(ENTRY))]


@pytest_twisted.ensureDeferred
@pytest.mark.parametrize(
    ("answer", "error"),
    [
        (answer_with(429, b"slow down"), LogRateLimited),
        (answer_with(503, b"", [("X-Not-Applied", "1")]), LogRateLimited),
        (answer_with(503, b""), LogOutage),
        (answer_with(503, b"", [("X-Not-Applied", "0")]), LogOutage),
        (answer_with(500, b""), LogOutage),
        (answer_with(400, b"", [("X-Not-Applied", "1")]), LogOutage),
        (answer_with(302, b"", [("Location", "/elsewhere")]), LogOutage),
        (answer_with(200, b"{}"), LogOutage),
        (answer_with(200, b"x" * 20_000), LogOutage),
        (answer_with(200, b'{"x":' + b"[" * 4_000), LogOutage),
    ],
)
async def test_append_is_reported_as_not_applied_only_if_the_log_says_so(serve, answer, error):
    log = LogClient(serve(app_answering("POST", answer)))
    with pytest.raises((LogRateLimited, LogOutage)) as caught:
        await log.append("audit", ENTRY)
    assert type(caught.value) is error


@pytest_twisted.ensureDeferred
async def test_append_without_a_response_is_an_outage(serve):
    log = LogClient(serve(app_answering("POST", lambda request: Deferred())), timeout_ms=50)
    with pytest.raises(LogOutage, match="may have taken effect"):
        await log.append("audit", ENTRY)


@pytest_twisted.ensureDeferred
async def test_append_is_sent_once_if_the_connection_breaks(serve):
    calls = []

    def answer(request):
        calls.append(request.path)
        request.transport.abortConnection()
        return Deferred()

    log = LogClient(serve(app_answering("POST", answer)))
    with pytest.raises(LogOutage):
        await log.append("audit", ENTRY)
    assert len(calls) == 1


@pytest_twisted.ensureDeferred
async def test_incomplete_append_response_is_an_outage(serve):
    def answer(request):
        request.write(b'{"offset"')
        return Deferred()

    log = LogClient(serve(app_answering("POST", answer)), timeout_ms=50)
    with pytest.raises(LogOutage):
        await log.append("audit", ENTRY)


@pytest_twisted.ensureDeferred
async def test_refused_connection_is_an_outage():
    log = LogClient("http://127.0.0.1:1")
    with pytest.raises(LogOutage):
        await log.read("audit", 0)


@pytest_twisted.ensureDeferred
async def test_read_sends_offset_limit_and_wait_time(serve):
    seen = []

    def answer(request):
        seen.append(request.args)
        return page_json([], first=3, next_offset=9)

    log = LogClient(serve(app_answering("GET", answer)))
    assert await log.read("config", 4, limit=10, wait_ms=20) == LogPage((), 3, 9)
    assert seen == [{b"from": [b"4"], b"limit": [b"10"], b"wait_ms": [b"20"]}]


@pytest_twisted.ensureDeferred
async def test_undecodable_record_does_not_fail_the_page(serve):
    decodable = json.loads(encode_record(ENTRY))
    body = page_json([(4, {"type": "Unheard"}), (6, decodable)], first=2, next_offset=7)
    log = LogClient(serve(app_answering("GET", answer_with(200, body))))
    result = await log.read("audit", 4)
    assert result.records[0].record is None
    assert "Unheard" in result.records[0].error
    assert result.records[1] == LogEntry(6, 5, ENTRY)
    assert (result.first, result.next) == (2, 7)


@pytest_twisted.ensureDeferred
async def test_next_offset_is_after_the_last_entry_and_not_the_stream_end(serve):
    body = page_json([(4, {})], next_offset=90)
    log = LogClient(serve(app_answering("GET", answer_with(200, body))))
    assert (await log.read("audit", 4, limit=1)).next == 5


@pytest_twisted.ensureDeferred
async def test_next_offset_never_decreases(serve):
    log = LogClient(serve(app_answering("GET", answer_with(200, page_json([], next_offset=3)))))
    assert (await log.read("audit", 8)).next == 8


@pytest_twisted.ensureDeferred
@pytest.mark.parametrize(
    ("status", "body", "error"),
    [
        (503, "", LogOutage),
        (429, "", LogOutage),
        (404, "", PlatformError),
        (200, "[]", PlatformError),
        (200, page_json([(3, {})]), PlatformError),
        (200, page_json([(5, {}), (5, {})]), PlatformError),
    ],
)
async def test_invalid_page_raises_an_error(serve, status, body, error):
    log = LogClient(serve(app_answering("GET", answer_with(status, body))))
    with pytest.raises(PlatformError) as caught:
        await log.read("audit", 4)
    assert type(caught.value) is error


@pytest_twisted.ensureDeferred
async def test_page_over_the_size_limit_is_read_in_smaller_pages(serve):
    limits = []

    def answer(request):
        limits.append(int(request.args[b"limit"][0]))
        return page_json([(offset, "x" * 300) for offset in range(limits[-1])])

    log = LogClient(serve(app_answering("GET", answer)), max_page_bytes=1_000)
    assert len((await log.read("config", 0, limit=8)).records) == 2
    assert limits == [8, 4, 2]


@pytest_twisted.ensureDeferred
async def test_record_over_the_size_limit_is_skipped(serve):
    body = page_json([(0, "x" * 2_000)])
    log = LogClient(serve(app_answering("GET", answer_with(200, body))), max_page_bytes=1_000)
    result = await log.read("config", 0, limit=1)
    assert (result.records[0].record, result.next) == (None, 1)
    assert "1000 bytes" in result.records[0].error


@pytest_twisted.ensureDeferred
async def test_record_nested_too_deeply_is_skipped(serve):
    nested = '{"offset": 0, "at_ms": 5, "data": ' + "[" * 9_000 + "]" * 9_000 + "}"
    decodable = '{"offset": 1, "at_ms": 5, "data": ' + encode_record(ENTRY).decode() + "}"

    def answer(request):
        start, limit = int(request.args[b"from"][0]), int(request.args[b"limit"][0])
        shown = ", ".join([nested, decodable][start : start + limit])
        return f'{{"records": [{shown}], "first": 0, "next": 2}}'

    log = LogClient(serve(app_answering("GET", answer)))
    skipped = await log.read("config", 0)
    assert (skipped.records[0].offset, skipped.records[0].record, skipped.next) == (0, None, 1)
    assert (await log.read("config", skipped.next)).records == (LogEntry(1, 5, ENTRY),)


@pytest_twisted.ensureDeferred
async def test_error_for_a_broken_connection_names_the_cause(serve):
    def answer(request):
        request.transport.abortConnection()
        return Deferred()

    log = LogClient(serve(app_answering("GET", answer)))
    with pytest.raises(LogOutage, match="no answer: Connection(Lost|Done): ") as caught:
        await log.read("config", 0)
    assert "Failure" not in str(caught.value)
