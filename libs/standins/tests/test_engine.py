"""Guards against chunks lost on resume, refused attempts that run and ignored freezes."""

import random

import msgspec
import pytest
import pytest_twisted

from skylarkmoor_core.clock import SystemClock
from skylarkmoor_standins.engine_model import EngineModel
from skylarkmoor_standins.engine_types import EngineFaults, EngineSettings


@pytest.fixture
def model():
    settings = EngineSettings(decode_ms=1, report_lag_ms=0, event_gap_rate=0.0)
    return EngineModel(settings, ("v1",), "mixed", random.Random(1), SystemClock().wall_ms())


@pytest.fixture
def engine(start, model):
    from skylarkmoor_standins.engine import EngineService

    return start(EngineService(model, SystemClock(), random.Random(1), load_ms=1).app)


def generate_request(attempt, tokens=5):
    return {
        "attempt": attempt,
        "version": "v1",
        "prompt": f"x answer_tokens={tokens}",
        "max_tokens": 2000,
        "start_position": 0,
    }


async def lines_until_broken(response):
    """Return the decoded lines of a response and whether its connection was broken."""
    import treq
    from twisted.web.client import ResponseFailed

    data = []
    broken = False
    try:
        await treq.collect(response, data.append)
    except ResponseFailed:
        broken = True
    return [msgspec.json.decode(line) for line in b"".join(data).splitlines()], broken


@pytest_twisted.ensureDeferred
async def test_answer_is_streamed_completely(engine):
    lines = await engine.lines("/generate", generate_request("a"))
    assert [line["position"] for line in lines[:-1]] == [0, 1, 2, 3, 4]
    assert lines[-1]["total"] == 5
    _, record = await engine.get("/served")
    assert [(served["attempt"], served["end"]) for served in record["served"]] == [("a", "done")]


@pytest_twisted.ensureDeferred
async def test_cut_stream_resumes_without_lost_chunks(engine, model):
    model.faults = EngineFaults(cut_streams=3)
    first, broken = await lines_until_broken(await engine.send("/generate", generate_request("a")))
    assert (len(first), broken) == (3, True)
    model.faults = EngineFaults()
    rest = await engine.lines("/resume", {"attempt": "a", "position": 3})
    whole = await engine.lines("/generate", generate_request("b"))
    assert [line.get("text") for line in first + rest] == [line.get("text") for line in whole]
    assert (await engine.post("/resume", {"attempt": "zz", "position": 0}))[0] == 404


@pytest_twisted.ensureDeferred
async def test_cancelled_stream_has_no_end_marker(engine):
    response = await engine.send("/generate", generate_request("a", tokens=2000))
    assert await engine.post("/cancel", {"attempt": "a"}) == (200, {"cancelled": True})
    lines, broken = await lines_until_broken(response)
    assert not broken
    assert all("end" not in line for line in lines)


@pytest_twisted.ensureDeferred
async def test_leaving_engine_refuses_new_attempts(engine):
    await engine.post("/faults", {"leaving": True})
    response = await engine.send("/generate", generate_request("a"))
    await response.content()
    assert (response.code, response.headers.getRawHeaders("X-Leaving")) == (503, ["1"])
    assert (await engine.get("/report"))[1]["leaving"] is True
    assert (await engine.get("/served"))[1]["served"] == []


@pytest_twisted.ensureDeferred
async def test_frozen_engine_answers_after_unfreezing(engine):
    from twisted.internet.defer import ensureDeferred

    await engine.post("/faults", {"frozen": True})
    report = ensureDeferred(engine.get("/report"))
    stream = ensureDeferred(engine.lines("/generate", generate_request("a")))
    assert (await engine.get("/served"))[1]["served"] == []
    assert not report.called
    await engine.post("/faults", {"frozen": False})
    assert (await report)[0] == 200
    assert (await stream)[-1]["end"] is True


@pytest_twisted.ensureDeferred
async def test_order_and_kv_handle_status_codes(engine):
    assert (await engine.post("/orders", {"order": "load", "version": "v2", "fencing": 3}))[
        0
    ] == 200
    assert (await engine.post("/orders", {"order": "load", "version": "v2", "fencing": 2}))[
        0
    ] == 409
    await engine.lines("/generate", generate_request("a") | {"prompt": "w " * 20})
    _, handle = await engine.post("/kv/export", {"attempt": "a"})
    assert (await engine.post("/kv/import", handle))[0] == 200
    assert (await engine.post("/generate", generate_request("b") | {"version": "v9"}))[0] == 409
