"""Guards the wiring of whole daemons against losing, repeating or misreporting requests."""

import pytest_twisted


@pytest_twisted.ensureDeferred
async def test_a_completion_is_streamed_from_an_engine(world, assistant):
    world.engine("engine-1")
    world.publish(assistant)
    world.daemon("entry-1")
    await world.ready()
    answer = await world.chat("entry-1", "how warm? answer_tokens=5", stream=True)
    assert answer.status == 200
    assert answer.headers["content-type"] == "text/event-stream"
    assert answer.body.endswith(b"data: [DONE]\n\n")
    assert answer.body.count(b'"content"') == 5


@pytest_twisted.ensureDeferred
async def test_an_order_runs_once_through_a_claim(world, orders):
    world.plain("plain-1")
    world.publish(orders)
    world.daemon("entry-1")
    await world.ready()
    answer = await world.order("entry-1", "order-1")
    assert answer.status == 200
    assert len(world.plains["plain-1"].calls) == 1
