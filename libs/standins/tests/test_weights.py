"""Guards against a version reported as loaded before the store has sent all of it."""

import random

import pytest_twisted

from skylarkmoor_core.clock import SystemClock
from skylarkmoor_standins.engine_model import EngineModel
from skylarkmoor_standins.engine_types import EngineSettings
from skylarkmoor_standins.weights_model import WeightFaults, WeightModel


@pytest_twisted.ensureDeferred
async def test_version_is_ready_only_after_its_download(start):
    from skylarkmoor_standins.engine import EngineService
    from skylarkmoor_standins.server import sleep_ms
    from skylarkmoor_standins.weights import WeightService

    clock = SystemClock()
    store = WeightModel(bytes_per_s=10_000, size_bytes=5_000, now_ms=clock.now_ms())
    store.faults = WeightFaults(outage=True)
    weights = start(WeightService(store, clock).app)
    model = EngineModel(EngineSettings(), ("v1",), "mixed", random.Random(1), clock.wall_ms())
    engine = start(EngineService(model, clock, random.Random(1), 0, weights.url).app)

    await engine.post("/orders", {"order": "load", "version": "v2", "fencing": 1})
    report = (await engine.get("/report"))[1]
    assert (report["versions"], report["loading"]) == (["v1"], ["v2"])
    await weights.post("/faults", {"outage": False})
    for _ in range(200):
        report = (await engine.get("/report"))[1]
        if report["versions"] == ["v1", "v2"]:
            break
        await sleep_ms(25)
    assert report["versions"] == ["v1", "v2"]
