"""Guards moves against good versions that do not complete and bad ones that keep serving."""

import msgspec
import pytest_twisted

from skylarkmoor_core.records import AuditEntry, MoveEnded, MoveStep, decode_record


@pytest_twisted.async_yield_fixture
async def cluster(world, assistant):
    """Start two daemons with three engines and prepare a document that requests a move to v2."""
    for i in range(3):
        world.engine(f"engine-{i}", decode_ms=1.0, max_batch=16)
    assistant["limits"] = {"max_waiting": 100_000}
    for customer in assistant["customers"]:
        customer.update(requests_per_s=100_000, max_waiting=100_000)
    world.first = world.publish(assistant)
    for name in ("entry-1", "entry-2"):
        world.daemon(name)
    await world.ready()
    assistant["move"] = {
        "version": "v2",
        "by_ms": world.clock.wall_ms() + 60_000,
        "steps_percent": [10, 50, 100],
        "step_ms": 500,
        "min_requests": 5,
        # The default limit on a new version is below the request rate of these tests.
        "max_new_requests_per_s": 100_000,
        "max_watch_ms": 1_000,
    }
    world.document = assistant
    yield world


def _records(world, stream):
    stored = world.log._streams[stream].records if stream in world.log._streams else []
    return [decode_record(bytes(record.data)) for record in stored]


def _recorded_ends(world):
    return [record for record in _records(world, "moves") if isinstance(record, MoveEnded)]


async def _send_requests_until(world, done):
    """Send requests through both daemons until `done` holds; return the status codes."""
    from twisted.internet.defer import ensureDeferred, gatherResults

    statuses = []
    for i in range(200):
        if done():
            return statuses
        pending_answers = [
            ensureDeferred(world.chat(f"entry-{1 + j % 2}", f"{i} {j} answer_tokens=5"))
            for j in range(12)
        ]
        statuses += [answer.status for answer in await gatherResults(pending_answers)]
    raise AssertionError("condition not reached after 200 rounds of requests")


@pytest_twisted.ensureDeferred
async def test_good_version_completes_all_steps_and_old_version_is_unloaded(cluster):
    cluster.publish(cluster.document, based_on=cluster.first)
    statuses = await _send_requests_until(cluster, lambda: _recorded_ends(cluster))
    assert set(statuses) == {200}
    steps = [record for record in _records(cluster, "moves") if isinstance(record, MoveStep)]
    assert [step.share_percent for step in steps] == [0, 10, 50, 75]
    assert [end.result.value for end in _recorded_ends(cluster)] == ["done"]
    engines = cluster.engines.values()
    await cluster.until(lambda: all(list(engine._versions) == ["v2"] for engine in engines))
    # The daemons read the end of the move from the log at different times.
    await cluster.until(lambda: _share_percent(cluster.daemons["entry-1"]) == 100)
    url = cluster.urls["entry-1"] + "/admin/moves"
    (move,) = (await cluster.web.ask("GET", url)).json()["moves"]
    assert (move["new"], move["share_percent"], move["result"]) == ("v2", 100, "done")
    audits = [record for record in _records(cluster, "audit") if isinstance(record, AuditEntry)]
    assert [audit.after for audit in audits] == ["0%", "10%", "50%", "75%", "done"]


@pytest_twisted.ensureDeferred
async def test_version_with_errors_is_stopped_and_rolled_back(cluster):
    from skylarkmoor_standins.engine_model import VersionFaults

    for name in cluster.engines:
        cluster.set_faults(name, versions={"v2": VersionFaults(error_rate=1.0)})
    cluster.publish(cluster.document, based_on=cluster.first)
    await _send_requests_until(cluster, lambda: _recorded_ends(cluster))
    assert [end.result.value for end in _recorded_ends(cluster)] == ["undone"]
    failed = [
        entry
        for engine in cluster.engines.values()
        for entry in engine.served
        if entry.version == "v2"
    ]
    assert 0 < len(failed) < 50
    engines = cluster.engines.values()
    await cluster.until(lambda: all(list(engine._versions) == ["v1"] for engine in engines))


@pytest_twisted.ensureDeferred
async def test_version_with_errors_is_stopped_while_the_log_is_down(cluster):
    from skylarkmoor_standins.engine_model import VersionFaults

    cluster.publish(cluster.document, based_on=cluster.first)

    def daemons_at_half_share():
        return [daemon for daemon in cluster.daemons.values() if _share_percent(daemon) >= 50]

    await _send_requests_until(cluster, lambda: len(daemons_at_half_share()) == 2)
    cluster.log.faults = msgspec.structs.replace(cluster.log.faults, outage=True)
    for name in cluster.engines:
        cluster.set_faults(name, versions={"v2": VersionFaults(error_rate=1.0)})
    await _send_requests_until(
        cluster, lambda: all(_share_percent(each) == 0 for each in cluster.daemons.values())
    )
    assert _recorded_ends(cluster) == []
    cluster.log.faults = msgspec.structs.replace(cluster.log.faults, outage=False)
    await cluster.until(lambda: _recorded_ends(cluster))
    assert _recorded_ends(cluster)[0].result.value == "undone"


def _share_percent(daemon):
    moves = daemon.moves()
    return moves[0]["share_percent"] if moves else -1
