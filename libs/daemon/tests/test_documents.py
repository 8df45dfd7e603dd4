"""Guards against daemons with outdated, rejected or missing documents, also in log outages."""

import msgspec
import pytest_twisted


def _offsets(world):
    return [dict(daemon.status()["documents"]) for daemon in world.daemons.values()]


def _set_log_outage(world, is_down):
    world.log.faults = msgspec.structs.replace(world.log.faults, outage=is_down)


@pytest_twisted.ensureDeferred
async def test_accepted_document_is_in_force_on_all_daemons(world, assistant):
    world.engine("engine-1")
    first = world.publish(assistant)
    for name in ("entry-1", "entry-2", "entry-3"):
        world.daemon(name)
    await world.ready()
    assistant["routes"][0]["name"] = "questions"
    second = world.publish(assistant, based_on=first)
    await world.until(lambda: _offsets(world) == [{"assistant": second}] * 3)
    assert (await world.chat("entry-3", "hello", model="questions")).status == 200
    assert (await world.chat("entry-3", "hello")).error() == ("unknown_route", "not_run")


@pytest_twisted.ensureDeferred
async def test_findings_are_logged_and_the_document_is_in_force(world, assistant, caplog):
    world.engine("engine-1")
    assistant["customers"][0]["max_waiting"] = 1_000_000
    first = world.publish(assistant)
    world.daemon("entry-1")
    await world.ready()
    assert _offsets(world) == [{"assistant": first}]
    found = [each.check for each in caplog.records if hasattr(each, "check")]
    assert found == ["over-service-limit"]


@pytest_twisted.ensureDeferred
async def test_racing_and_invalid_documents_are_rejected(world, assistant):
    world.engine("engine-1")
    first = world.publish(assistant)
    winner = world.publish({**assistant, "version": "v1"}, based_on=first)
    world.publish({**assistant, "version": "v9"}, based_on=first)
    world.publish({**assistant, "tiers": []}, based_on=winner)
    daemon = world.daemon("entry-1")
    await world.ready()
    assert _offsets(world) == [{"assistant": winner}]
    assert daemon.services["assistant"].document.version == "v1"


@pytest_twisted.ensureDeferred
async def test_daemon_started_during_log_outage_gets_the_document_from_peers(world, assistant):
    world.engine("engine-1")
    first = world.publish(assistant)
    world.daemon("entry-1")
    await world.ready()
    _set_log_outage(world, True)
    late_daemon = world.daemon("entry-2")
    assert not late_daemon.is_ready()
    await world.until(late_daemon.is_ready)
    assert _offsets(world) == [{"assistant": first}] * 2
    # The current document stays in force during an outage of the log.
    assert (await world.chat("entry-2", "hello")).status == 200
    _set_log_outage(world, False)
    second = world.publish(assistant, based_on=first)
    await world.until(lambda: _offsets(world) == [{"assistant": second}] * 2)


@pytest_twisted.ensureDeferred
async def test_old_document_is_appended_again_by_exactly_one_daemon(world, assistant, monkeypatch):
    from skylarkmoor_daemon import documents

    monkeypatch.setattr(documents, "_RETENTION_MS", 6_000)
    monkeypatch.setattr(documents, "_CARRY_CHECK_MS", 100)
    world.engine("engine-1")
    world.publish(assistant)
    for name in ("entry-1", "entry-2"):
        world.daemon(name)
    await world.ready()
    await world.until(lambda: _offsets(world) == [{"assistant": 1}] * 2)
    audits = world.log._streams["audit"].records
    await world.until(lambda: audits)
    (audit,) = audits
    assert msgspec.json.decode(audit.data)["what"] == "carry document assistant"
    assert (await world.chat("entry-1", "hello")).status == 200
