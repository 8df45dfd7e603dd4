"""Guards the end of a daemon: work in progress, outcomes and what the peers know."""

import pytest_twisted


@pytest_twisted.async_yield_fixture
async def served(world, assistant, orders):
    """Two daemons before one slow engine and one slow plain service."""
    world.engine("engine-1", decode_ms=10.0)
    world.plain("plain-1", service_ms=2_000)
    world.publish(assistant)
    world.publish(orders)
    for name in ("entry-1", "entry-2"):
        world.daemon(name)
    await world.ready()
    yield world


async def _start(world):
    """Start an order and a chat that run at the same time.

    The order has to be claimed first. A chat that began beside it was over before the order
    ran when the machine was busy.
    """
    from twisted.internet.defer import ensureDeferred

    order = ensureDeferred(world.order("entry-1", "k"))
    await world.until(lambda: world.plains["plain-1"].running)
    chat = ensureDeferred(world.chat("entry-1", "plan answer_tokens=60", stream=True))
    await world.until(lambda: _runs(world))
    return chat, order


async def _forced(world, daemon):
    await world.until(lambda: daemon.exited.called)
    return daemon.exited.result


def _runs(world):
    return world.engines["engine-1"].running and world.plains["plain-1"].running


@pytest_twisted.ensureDeferred
async def test_drain_finishes_what_runs_and_refuses_new_work(served):
    daemon = served.daemons["entry-1"]
    chat, order = await _start(served)
    daemon.signal()
    url = served.urls["entry-1"]
    assert (await served.web.ask("GET", url + "/readyz")).status == 503
    status = (await served.web.ask("GET", url + "/admin/status")).json()
    assert (status["state"], status["held"]["running"]) == ("draining", 2)
    assert (await served.chat("entry-1", "hello")).error() == ("draining", "not_run")
    assert (await served.order("entry-1", "other")).error() == ("draining", "unknown")
    peer = served.daemons["entry-2"]
    await served.until(lambda: peer.status()["peers"] == {"entry-1": "draining"})
    chat, order = await chat, await order
    assert chat.body.endswith(b"data: [DONE]\n\n")
    assert chat.body.count(b'"content"') == 60
    assert order.status == 200
    assert await _forced(served, daemon) is False


@pytest_twisted.ensureDeferred
async def test_second_signal_ends_with_truthful_outcomes(served):
    daemon = served.daemons["entry-1"]
    chat, order = await _start(served)
    await served.until(lambda: served.engines["engine-1"].served[0].position >= 2)
    daemon.signal()
    daemon.signal()
    assert await _forced(served, daemon) is True
    chat, order = await chat, await order
    assert b'"code":"draining"' in chat.body
    assert b'"outcome":"ran"' in chat.body
    assert b"[DONE]" not in chat.body
    assert order.error() == ("draining", "unknown")
    assert len(served.plains["plain-1"].calls) == 1


@pytest_twisted.ensureDeferred
async def test_operator_drains_a_daemon(served):
    url = served.urls["entry-1"] + "/admin/drain"
    assert (await served.web.ask("POST", url)).status == 202
    assert await _forced(served, served.daemons["entry-1"]) is False
    await served.stop_daemon("entry-1")
    assert (await served.chat("entry-2", "hello")).status == 200
