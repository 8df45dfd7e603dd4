"""Guards against wrong offsets, missed pages and truncated responses that pass as complete."""

import struct
from contextlib import suppress

import pytest
from twisted.internet import reactor
from twisted.internet.defer import ensureDeferred
from twisted.web.resource import Resource
from twisted.web.server import Site

from skylarkmoor_adapter.store import RecordsDropped, Store, _decode_page
from skylarkmoor_core.errors import PlatformError
from skylarkmoor_core.settings import Address


def record(key, value):
    content = bytes([len(key)]) + key + value
    return struct.pack(">I", len(content)) + content


def page(*records, end=9, first=0):
    return struct.pack(">QQ", end, first) + b"".join(records)


def test_records_have_consecutive_offsets():
    store_page = _decode_page(page(record(b"a", b"1"), record(b"b", b""), record(b"c", b"3")), 5)
    assert [(each.key, each.value, each.offset) for each in store_page.records] == [
        ("a", b"1", 5),
        ("b", None, 6),
        ("c", b"3", 7),
    ]
    assert store_page.next_offset == 8


@pytest.mark.parametrize(("end", "reaches_end"), [(7, True), (8, False)])
def test_a_page_tells_whether_it_reaches_the_end_of_the_log(end, reaches_end):
    """Records that did not fit on a page were taken for records that do not exist (CONFIG)."""
    store_page = _decode_page(page(record(b"a", b"1"), record(b"b", b""), end=end), 5)
    assert store_page.reaches_end is reaches_end


def test_a_record_without_a_readable_key_is_skipped():
    """It still takes up an offset; otherwise all later records would get wrong ones."""
    store_page = _decode_page(
        page(record(b"\xff", b"1"), struct.pack(">I", 0), record(b"c", b"3")), 5
    )
    assert [(each.key, each.offset) for each in store_page.records] == [("c", 7)]


@pytest.mark.parametrize(
    "data", [b"", b"short", page(b"\x00\x00"), page(struct.pack(">I", 50) + b"cut")]
)
def test_truncated_pages_are_errors(data):
    with pytest.raises(PlatformError):
        _decode_page(data, 0)


def test_a_page_that_starts_after_the_offset_raises_records_dropped():
    with pytest.raises(RecordsDropped):
        _decode_page(page(first=6), 5)


class CannedResponses(Resource):
    """Answers calls with prepared responses and records the calls."""

    isLeaf = True  # noqa: N815

    def __init__(self, *answers):
        super().__init__()
        self.answers = list(answers)
        self.calls = []

    def render(self, request):
        """Return the next response; the last one is repeated."""
        self.calls.append((request.uri, request.content.read()))
        answer = self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]
        status, body, *era = answer
        request.setResponseCode(status)
        if era:
            request.setHeader("Store-Era", era[0])
        return body


async def with_store(answers, action):
    resource = CannedResponses(*answers)
    port = reactor.listenTCP(0, Site(resource), interface="127.0.0.1")
    store = Store(Address("127.0.0.1", port.getHost().port))
    try:
        return await action(store), resource.calls
    finally:
        await store.close()
        await port.stopListening()


def run(answers, action):
    return ensureDeferred(with_store(answers, action))


def test_newest_reads_all_pages():
    """Changes between two pages are lost if the next read starts at the end of the last page."""
    first = b'{"items":[{"key":"a","value":"MQ==","offset":4}],"more_pages":true,"end_offset":6}'
    second = b'{"items":[{"key":"b","value":"Mg==","offset":5}],"more_pages":false,"end_offset":9}'

    def check(result):
        store_page, calls = result
        assert [(each.key, each.value) for each in store_page.records] == [("a", b"1"), ("b", b"2")]
        assert store_page.next_offset == 6
        assert b"after=a" in calls[1][0]

    return run([(200, first), (200, second)], lambda store: store.newest("keyed.op")).addCallback(
        check
    )


@pytest.mark.parametrize(
    "answer", [(503, b""), (429, b""), (200, b"rubbish"), (200, b'{"items":[{"key":1}]}')]
)
def test_error_statuses_and_malformed_bodies_are_errors(answer):
    done = run([answer], lambda store: store.newest("keyed.op"))
    return done.addCallbacks(lambda _: pytest.fail("no error"), lambda f: f.trap(PlatformError))


def test_status_410_raises_records_dropped():
    done = run([(410, b'{"first_offset":7}')], lambda store: store.read("keyed.op", 3))
    return done.addCallbacks(lambda _: pytest.fail("no error"), lambda f: f.trap(RecordsDropped))


def test_an_append_carries_key_and_value():
    def check(result):
        _, calls = result
        assert calls[0][1] == record(b"host-1", b"10.0.0.1:7600")

    done = run(
        [(200, b'{"offset":1,"end_offset":2}')],
        lambda store: store.append("keyed.gateways", "host-1", b"10.0.0.1:7600"),
    )
    return done.addCallback(check)


EMPTY = page(end=0)


@pytest.mark.parametrize(
    ("eras", "era", "restores"),
    [
        (["3", "3"], 3, 0),
        (["1", "2", "2", "3"], 3, 2),
        (["2", "1"], 2, 0),
        (["2", "", "2"], 2, 0),
        (["", "", ""], 0, 0),
        (["2", "two", "-3", "2.5", "\u0662", "3"], 3, 1),
    ],
)
def test_a_restore_is_seen_when_the_era_rises(eras, era, restores):
    """The first era says nothing of what this process has read before."""
    seen = []

    async def read_all(store):
        store.on_restored.append(lambda: seen.append(store.era))
        for _ in eras:
            with suppress(PlatformError):
                await store.read("keyed.op", 0)
        return store.era

    done = run([(200, EMPTY, each.encode()) for each in eras], read_all)
    return done.addCallback(lambda result: check_equal((result[0], len(seen)), (era, restores)))


def check_equal(left, right):
    assert left == right


@pytest.mark.parametrize("status", [410, 503, 412])
def test_failures_and_appends_show_a_restore_as_well(status):
    seen = []

    async def read_and_append(store):
        store.on_restored.append(lambda: seen.append(store.era))
        await store.append("keyed.gateways", "host-1", b"a")
        with suppress(PlatformError):
            await store.read("keyed.op", 4)
        await store.append("keyed.gateways", "host-1", b"a")

    appended = b'{"offset":1,"end_offset":2}'
    done = run(
        [(200, appended, b"1"), (status, b"{}", b"2"), (200, appended, b"3")], read_and_append
    )
    return done.addCallback(lambda _: check_equal(seen, [2, 3]))
