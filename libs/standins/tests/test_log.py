"""Guards against long polls that miss an append, answers sent despite a fault, and wrong codes."""

import pytest
import pytest_twisted
from twisted.internet.defer import ensureDeferred
from twisted.web.client import ResponseNeverReceived

from skylarkmoor_core.clock import SystemClock
from skylarkmoor_standins.log import LogService
from skylarkmoor_standins.log_model import LogFaults, LogModel
from skylarkmoor_standins.server import sleep_ms


@pytest.fixture
def model():
    return LogModel(appends_per_s=1, retention_ms=60_000, now_ms=SystemClock().wall_ms())


@pytest.fixture
def log(start, model):
    return start(LogService(model, SystemClock()).app)


@pytest_twisted.ensureDeferred
async def test_append_then_read(log):
    assert await log.post("/streams/a/records", {"n": 1}) == (200, {"offset": 0})
    status, page = await log.get("/streams/a/records?from=0&limit=5")
    assert (status, page["first"], page["next"]) == (200, 0, 1)
    assert page["records"][0]["data"] == {"n": 1}


@pytest_twisted.ensureDeferred
async def test_long_poll_returns_on_append(log):
    poll = ensureDeferred(log.get("/streams/a/records?from=0&wait_ms=8000"))
    await sleep_ms(50)
    await log.post("/streams/a/records", {"n": 1})
    status, page = await poll
    assert (status, page["next"]) == (200, 1)


@pytest_twisted.ensureDeferred
async def test_lost_answer_drops_the_connection_after_the_append(log, model):
    model.faults = LogFaults(lost_answers=1)
    with pytest.raises(ResponseNeverReceived):
        await log.post("/streams/a/records", {"n": 1})
    assert (await log.get("/streams/a/records"))[1]["next"] == 1


@pytest_twisted.ensureDeferred
async def test_refused_operations_have_distinct_status_codes(log):
    assert (await log.post("/streams/a/records", 1))[0] == 200
    assert (await log.post("/streams/a/records", 2))[0] == 429
    assert (await log.get("/streams/a/records?from=x"))[0] == 400
    assert (await log.post("/faults", {"outage": True}))[0] == 200
    assert (await log.get("/streams/a/records"))[0] == 503
