"""Guards upstreams against requests that crash each one that runs them."""

import pytest_twisted

_POISON = "poison answer_tokens=20"


@pytest_twisted.async_yield_fixture
async def served(world, assistant, monkeypatch):
    """Two daemons before five engines that crash on a word of the prompt."""
    world.crash_engines(monkeypatch)
    for i in range(5):
        world.engine(f"engine-{i}", decode_ms=5.0)
        world.set_faults(f"engine-{i}", crash_on="poison")
    world.publish(assistant)
    for name in ("entry-1", "entry-2"):
        world.daemon(name)
    await world.ready()
    yield world


@pytest_twisted.ensureDeferred
async def test_request_is_stopped_after_two_crashes_on_all_daemons(served):
    first = await served.chat("entry-1", _POISON)
    assert first.error() == ("quarantined", "unknown")
    assert len(served.crashes) == 2
    for name in ("entry-1", "entry-2"):
        assert (await served.chat(name, _POISON)).error() == ("quarantined", "not_run")
    assert len(served.crashes) == 2


@pytest_twisted.ensureDeferred
async def test_copies_sent_at_once_crash_no_more_than_two_upstreams(served):
    from twisted.internet.defer import ensureDeferred

    copies = [ensureDeferred(served.chat(f"entry-{1 + i % 2}", _POISON)) for i in range(2)]
    assert [(await copy).error()[0] for copy in copies] == ["quarantined"] * 2
    assert len(served.crashes) == 2


@pytest_twisted.ensureDeferred
async def test_requests_beside_the_crash_complete_and_are_cleared(served):
    from twisted.internet.defer import ensureDeferred

    others = [
        ensureDeferred(served.chat("entry-1", f"note {i} answer_tokens=60")) for i in range(10)
    ]
    await served.until(lambda: sum(len(e.running) for e in served.engines.values()) == 10)
    assert (await served.chat("entry-1", _POISON)).error()[0] == "quarantined"
    assert [(await other).status for other in others] == [200] * 10
    for i in range(10):
        assert (await served.chat("entry-2", f"note {i} answer_tokens=60")).status == 200
    assert len(served.crashes) == 2
