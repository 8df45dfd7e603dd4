"""Guards shutdown against lost requests, wrong outcomes and peers that are not informed."""

import pytest_twisted


@pytest_twisted.async_yield_fixture
async def cluster(world, assistant, orders):
    """Start two daemons with one slow engine and one slow plain upstream."""
    world.engine("engine-1", decode_ms=10.0)
    world.plain("plain-1", service_ms=2_000)
    world.publish(assistant)
    world.publish(orders)
    for name in ("entry-1", "entry-2"):
        world.daemon(name)
    await world.ready()
    yield world


async def _start_chat_and_order(world):
    """Start an order and a chat that run at the same time.

    The chat starts only once the order runs. The order has to be claimed first, and on a busy
    machine a chat started together with it finished before the order ran.
    """
    from twisted.internet.defer import ensureDeferred

    order = ensureDeferred(world.order("entry-1", "k"))
    await world.until(lambda: world.plains["plain-1"].running)
    chat = ensureDeferred(world.chat("entry-1", "plan answer_tokens=60", stream=True))
    await world.until(lambda: _both_running(world))
    return chat, order


async def _exit_was_forced(world, daemon):
    await world.until(lambda: daemon.exited.called)
    return daemon.exited.result


def _both_running(world):
    return world.engines["engine-1"].running and world.plains["plain-1"].running


@pytest_twisted.ensureDeferred
async def test_drain_finishes_running_requests_and_refuses_new_ones(cluster):
    daemon = cluster.daemons["entry-1"]
    chat, order = await _start_chat_and_order(cluster)
    daemon.signal()
    url = cluster.urls["entry-1"]
    assert (await cluster.web.ask("GET", url + "/readyz")).status == 503
    status = (await cluster.web.ask("GET", url + "/admin/status")).json()
    assert (status["state"], status["held"]["running"]) == ("draining", 2)
    assert (await cluster.chat("entry-1", "hello")).error() == ("draining", "not_run")
    assert (await cluster.order("entry-1", "other")).error() == ("draining", "unknown")
    peer = cluster.daemons["entry-2"]
    await cluster.until(lambda: peer.status()["peers"] == {"entry-1": "draining"})
    chat, order = await chat, await order
    assert chat.body.endswith(b"data: [DONE]\n\n")
    assert chat.body.count(b'"content"') == 60
    assert order.status == 200
    assert await _exit_was_forced(cluster, daemon) is False


@pytest_twisted.ensureDeferred
async def test_second_signal_aborts_requests_with_correct_outcomes(cluster):
    daemon = cluster.daemons["entry-1"]
    chat, order = await _start_chat_and_order(cluster)
    await cluster.until(lambda: cluster.engines["engine-1"].served[0].position >= 2)
    daemon.signal()
    daemon.signal()
    assert await _exit_was_forced(cluster, daemon) is True
    chat, order = await chat, await order
    assert b'"code":"draining"' in chat.body
    assert b'"outcome":"ran"' in chat.body
    assert b"[DONE]" not in chat.body
    assert order.error() == ("draining", "unknown")
    assert len(cluster.plains["plain-1"].calls) == 1


@pytest_twisted.ensureDeferred
async def test_drain_endpoint_drains_a_daemon(cluster):
    url = cluster.urls["entry-1"] + "/admin/drain"
    assert (await cluster.web.ask("POST", url)).status == 202
    assert await _exit_was_forced(cluster, cluster.daemons["entry-1"]) is False
    await cluster.stop_daemon("entry-1")
    assert (await cluster.chat("entry-2", "hello")).status == 200
