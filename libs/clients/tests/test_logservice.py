"""Guards the log client against wrong claims about appends and against stuck followers."""

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


def page(records, first=0, following=0):
    items = [{"offset": offset, "at_ms": 5, "data": data} for offset, data in records]
    return json.dumps({"records": items, "first": first, "next": following})


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
async def test_append_is_called_not_applied_only_with_proof(serve, answer, error):
    log = LogClient(serve(app_answering("POST", answer)))
    with pytest.raises((LogRateLimited, LogOutage)) as caught:
        await log.append("audit", ENTRY)
    assert type(caught.value) is error


@pytest_twisted.ensureDeferred
async def test_append_without_answer_is_an_outage(serve):
    log = LogClient(serve(app_answering("POST", lambda request: Deferred())), timeout_ms=50)
    with pytest.raises(LogOutage, match="may have taken effect"):
        await log.append("audit", ENTRY)


@pytest_twisted.ensureDeferred
async def test_append_with_broken_connection_is_sent_once(serve):
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
async def test_append_answer_that_stalls_midway_is_an_outage(serve):
    def answer(request):
        request.write(b'{"offset"')
        return Deferred()

    log = LogClient(serve(app_answering("POST", answer)), timeout_ms=50)
    with pytest.raises(LogOutage):
        await log.append("audit", ENTRY)


@pytest_twisted.ensureDeferred
async def test_nothing_listening_is_an_outage():
    log = LogClient("http://127.0.0.1:1")
    with pytest.raises(LogOutage):
        await log.read("audit", 0)


@pytest_twisted.ensureDeferred
async def test_read_passes_its_bounds_to_the_log(serve):
    seen = []

    def answer(request):
        seen.append(request.args)
        return page([], first=3, following=9)

    log = LogClient(serve(app_answering("GET", answer)))
    assert await log.read("config", 4, limit=10, wait_ms=20) == LogPage((), 3, 9)
    assert seen == [{b"from": [b"4"], b"limit": [b"10"], b"wait_ms": [b"20"]}]


@pytest_twisted.ensureDeferred
async def test_undecodable_record_does_not_stop_the_page(serve):
    good = json.loads(encode_record(ENTRY))
    body = page([(4, {"type": "Unheard"}), (6, good)], first=2, following=7)
    log = LogClient(serve(app_answering("GET", answer_with(200, body))))
    got = await log.read("audit", 4)
    assert got.records[0].record is None
    assert "Unheard" in got.records[0].error
    assert got.records[1] == LogEntry(6, 5, ENTRY)
    assert (got.first, got.next) == (2, 7)


@pytest_twisted.ensureDeferred
async def test_next_follows_the_last_entry_and_not_the_end_of_the_stream(serve):
    body = page([(4, {})], following=90)
    log = LogClient(serve(app_answering("GET", answer_with(200, body))))
    assert (await log.read("audit", 4, limit=1)).next == 5


@pytest_twisted.ensureDeferred
async def test_next_never_goes_back(serve):
    log = LogClient(serve(app_answering("GET", answer_with(200, page([], following=3)))))
    assert (await log.read("audit", 8)).next == 8


@pytest_twisted.ensureDeferred
@pytest.mark.parametrize(
    ("status", "body", "error"),
    [
        (503, "", LogOutage),
        (429, "", LogOutage),
        (404, "", PlatformError),
        (200, "[]", PlatformError),
        (200, page([(3, {})]), PlatformError),
        (200, page([(5, {}), (5, {})]), PlatformError),
    ],
)
async def test_bad_page_is_refused(serve, status, body, error):
    log = LogClient(serve(app_answering("GET", answer_with(status, body))))
    with pytest.raises(PlatformError) as caught:
        await log.read("audit", 4)
    assert type(caught.value) is error


@pytest_twisted.ensureDeferred
async def test_page_over_the_bound_is_read_in_smaller_pages(serve):
    limits = []

    def answer(request):
        limits.append(int(request.args[b"limit"][0]))
        return page([(offset, "x" * 300) for offset in range(limits[-1])])

    log = LogClient(serve(app_answering("GET", answer)), max_page_bytes=1_000)
    assert len((await log.read("config", 0, limit=8)).records) == 2
    assert limits == [8, 4, 2]


@pytest_twisted.ensureDeferred
async def test_record_over_the_bound_is_stepped_over(serve):
    body = page([(0, "x" * 2_000)])
    log = LogClient(serve(app_answering("GET", answer_with(200, body))), max_page_bytes=1_000)
    got = await log.read("config", 0, limit=1)
    assert (got.records[0].record, got.next) == (None, 1)
    assert "1000 bytes" in got.records[0].error


@pytest_twisted.ensureDeferred
async def test_record_nested_too_deeply_is_stepped_over(serve):
    nested = '{"offset": 0, "at_ms": 5, "data": ' + "[" * 9_000 + "]" * 9_000 + "}"
    good = '{"offset": 1, "at_ms": 5, "data": ' + encode_record(ENTRY).decode() + "}"

    def answer(request):
        start, limit = int(request.args[b"from"][0]), int(request.args[b"limit"][0])
        shown = ", ".join([nested, good][start : start + limit])
        return f'{{"records": [{shown}], "first": 0, "next": 2}}'

    log = LogClient(serve(app_answering("GET", answer)))
    bad = await log.read("config", 0)
    assert (bad.records[0].offset, bad.records[0].record, bad.next) == (0, None, 1)
    assert (await log.read("config", bad.next)).records == (LogEntry(1, 5, ENTRY),)


@pytest_twisted.ensureDeferred
async def test_message_of_a_broken_connection_names_the_cause(serve):
    def answer(request):
        request.transport.abortConnection()
        return Deferred()

    log = LogClient(serve(app_answering("GET", answer)))
    with pytest.raises(LogOutage, match="no answer: Connection(Lost|Done): ") as caught:
        await log.read("config", 0)
    assert "Failure" not in str(caught.value)
