"""Guards against misreported publication outcomes and against repeated appends."""

import json

import msgspec
import pytest
import pytest_twisted

from skylarkmoor_clients.logservice import LogClient
from skylarkmoor_core.clock import ManualClock, SystemClock
from skylarkmoor_core.document import Limits
from skylarkmoor_core.errors import LogOutage
from skylarkmoor_core.records import AuditEntry, DocumentCarried, decode_record, encode_record
from skylarkmoor_operator.publish import (
    ExpectedOffset,
    PublishRetryPolicy,
    move_deadline_faults,
    publish,
)
from skylarkmoor_operator.runner import ExitCode

SHORT_RETRIES = PublishRetryPolicy(decision_timeout_ms=50, retry_delay_ms=5, max_attempts=3)


class Publisher:
    """Publishes as author ``mair`` with its own log client."""

    def __init__(self, url, retries=SHORT_RETRIES):
        self._log = LogClient(url)
        self._retries = retries

    async def publish(self, document, based_on=None, reason=""):
        return await publish(
            self._log,
            SystemClock(),
            document,
            author="mair",
            reason=reason,
            based_on=based_on,
            retries=self._retries,
        )


@pytest.fixture
def publisher(log_url):
    return Publisher(log_url)


def audit_entries(fake_log):
    entries = fake_log.streams.get("audit", [])
    return [decode_record(json.dumps(entry["data"]).encode()) for entry in entries]


@pytest_twisted.ensureDeferred
async def test_accepted_publication_is_audited(fake_log, publisher, publication, make_document):
    fake_log.add("config", publication(None))
    code = await publisher.publish(make_document("v1", move_to="v2"), reason="faster")
    assert code is ExitCode.SUCCESS
    entry = audit_entries(fake_log)[0]
    assert entry == AuditEntry(
        who="mair",
        what="publish assistant: faster",
        before="offset 0, version v1",
        after="offset 1, version v1, moving to v2",
        at_ms=entry.at_ms,
        stream="config",
        offset=1,
    )


@pytest_twisted.ensureDeferred
async def test_document_change_during_a_move_continues_the_move(fake_log, publisher, make_document):
    move = make_document("v1", move_to="v2")
    assert await publisher.publish(move) is ExitCode.SUCCESS
    assert (
        await publisher.publish(msgspec.structs.replace(move, limits=Limits(max_waiting=5)))
        is ExitCode.SUCCESS
    )
    assert fake_log.streams["config"][1]["data"]["continues"] == 0


@pytest_twisted.ensureDeferred
async def test_first_document_has_no_base(fake_log, publisher, make_document, capsys):
    assert await publisher.publish(make_document()) is ExitCode.SUCCESS
    assert fake_log.streams["config"][0]["data"]["based_on"] is None
    assert "first document of service assistant" in capsys.readouterr().out


@pytest_twisted.ensureDeferred
async def test_rejected_publication_names_the_accepted_document(
    fake_log, publisher, publication, make_document, capsys
):
    fake_log.add("config", publication(None))

    def append_competing_publication(stream):
        if stream == "config":
            fake_log.add("config", publication(0, author="ann", version="v7"))

    fake_log.before_append = append_competing_publication
    assert await publisher.publish(make_document("v2")) is ExitCode.REFUSED
    assert "offset 1, version v7, published by ann" in capsys.readouterr().err
    assert audit_entries(fake_log) == []


@pytest_twisted.ensureDeferred
@pytest.mark.parametrize("base", [ExpectedOffset(None), ExpectedOffset(0), ExpectedOffset(9)])
async def test_stale_base_is_refused_without_an_append(
    fake_log, publisher, publication, make_document, base
):
    fake_log.add("config", publication(None))
    fake_log.add("config", publication(0))
    assert await publisher.publish(make_document("v2"), based_on=base) is ExitCode.REFUSED
    assert len(fake_log.streams["config"]) == 2


@pytest_twisted.ensureDeferred
async def test_carried_document_keeps_its_author(
    fake_log, publisher, publication, make_document, capsys
):
    fake_log.add("config", publication(None, author="ann"))
    carried = DocumentCarried(service="assistant", document=make_document(), predecessor=0)
    fake_log.add("config", carried)
    await publisher.publish(make_document("v2"), based_on=ExpectedOffset(0))
    assert "offset 1, version v1, published by ann" in capsys.readouterr().err


@pytest_twisted.ensureDeferred
@pytest.mark.parametrize("status", [500, 503])
async def test_lost_append_response_is_resolved_by_reading(
    fake_log, publisher, make_document, status
):
    fake_log.status_after_append["config"] = status
    assert await publisher.publish(make_document()) is ExitCode.SUCCESS
    assert len(fake_log.streams["config"]) == 1
    assert audit_entries(fake_log)[0].offset == 0


@pytest_twisted.ensureDeferred
async def test_lost_append_response_of_a_rejected_publication_is_not_a_success(
    fake_log, publisher, publication, make_document
):
    def append_competing_publication(stream):
        if stream == "config":
            fake_log.add("config", publication(None, author="ann"))

    fake_log.before_append = append_competing_publication
    fake_log.status_after_append["config"] = 503
    assert await publisher.publish(make_document("v2")) is ExitCode.REFUSED


@pytest_twisted.ensureDeferred
async def test_append_that_is_never_found_is_reported_as_unknown_and_sent_once(
    fake_log, publisher, make_document, capsys
):
    appends = []

    def fail_append(stream):
        appends.append(stream)
        return 503

    fake_log.before_append = fail_append
    assert await publisher.publish(make_document()) is ExitCode.UNAVAILABLE
    assert appends == ["config"]
    assert "--based-on none" in capsys.readouterr().err


@pytest_twisted.ensureDeferred
async def test_append_that_is_readable_only_later_is_found(fake_log, log_url, make_document):
    fake_log.status_after_append["config"] = 503
    fake_log.hidden_offsets.add(0)
    fake_log.read_count = 0

    class Clock(ManualClock):
        def now_ms(self):
            if fake_log.read_count > 3:
                fake_log.hidden_offsets.clear()
            return 0

    code = await publish(
        LogClient(log_url), Clock(), make_document(), author="mair", retries=SHORT_RETRIES
    )
    assert code is ExitCode.SUCCESS


@pytest_twisted.ensureDeferred
async def test_rate_limited_append_is_retried(fake_log, publisher, make_document):
    answers = iter([429, 429])
    fake_log.before_append = lambda stream: next(answers, None)
    assert await publisher.publish(make_document()) is ExitCode.SUCCESS
    assert len(fake_log.streams["config"]) == 1


@pytest_twisted.ensureDeferred
async def test_persistent_rate_limit_is_reported_as_not_published(
    fake_log, publisher, make_document, capsys
):
    fake_log.before_append = lambda stream: 429
    assert await publisher.publish(make_document()) is ExitCode.UNAVAILABLE
    assert "not published" in capsys.readouterr().err


@pytest_twisted.ensureDeferred
async def test_lost_audit_record_is_only_a_warning(fake_log, publisher, make_document, capsys):
    fake_log.before_append = lambda stream: 503 if stream == "audit" else None
    assert await publisher.publish(make_document()) is ExitCode.SUCCESS
    assert "the audit record may be missing" in capsys.readouterr().err


@pytest_twisted.ensureDeferred
async def test_nothing_is_appended_when_the_log_cannot_be_read(make_document):
    with pytest.raises(LogOutage, match="read of 'config' failed"):
        await Publisher("http://127.0.0.1:1").publish(make_document())


@pytest.mark.parametrize(("wall_ms", "count"), [(89_999, 0), (90_000, 1)])
def test_move_deadline_that_has_passed_is_a_fault(make_document, wall_ms, count):
    document = make_document(move_to="v2", by_ms=90_000)
    faults = list(move_deadline_faults(document, wall_ms))
    assert [fault.partition(":")[0] for fault in faults] == ["$.move.by_ms"] * count


def test_record_round_trip_keeps_equality(publication):
    record = publication(3, move_to="v2")
    assert decode_record(encode_record(record)) == record
