"""Guards against unrecorded calls and against calls that a leaving service refuses but runs."""

import random

import pytest
import pytest_twisted

from skylarkmoor_core.clock import SystemClock
from skylarkmoor_standins.plain_model import PlainFaults, PlainModel


@pytest.fixture
def model():
    return PlainModel(service_ms=5, capacity=2, rng=random.Random(1))


@pytest.fixture
def plain(start, model):
    from skylarkmoor_standins.plain import PlainService

    return start(PlainService(model, SystemClock(), ("v1",)).app)


CALL = {"attempt": "a", "route": "order", "body": "x"}


@pytest_twisted.ensureDeferred
async def test_call_is_answered_and_recorded(plain):
    status, body = await plain.post("/call", CALL)
    assert (status, body["attempt"], body["result"]["route"]) == (200, "a", "order")
    _, record = await plain.get("/calls")
    assert [(call["attempt"], call["end"]) for call in record["calls"]] == [("a", "done")]


@pytest_twisted.ensureDeferred
async def test_lost_answer_drops_the_connection_after_the_call_ran(plain, model):
    from twisted.web.client import ResponseNeverReceived

    model.faults = PlainFaults(lost_answers=1)
    with pytest.raises(ResponseNeverReceived):
        await plain.post("/call", CALL)
    assert len((await plain.get("/calls"))[1]["calls"]) == 1


@pytest_twisted.ensureDeferred
async def test_leaving_service_answers_with_header_and_does_not_run_calls(plain):
    await plain.post("/faults", {"leaving": True})
    response = await plain.send("/call", CALL)
    await response.content()
    assert response.code == 503
    assert response.headers.getRawHeaders("X-Leaving") == ["1"]
    assert (await plain.get("/report"))[1]["leaving"] is True
    assert (await plain.get("/calls"))[1]["calls"] == []
