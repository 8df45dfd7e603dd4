"""Guards whole daemons against requests that are lost, run twice or wrongly prioritised."""

import pytest_twisted


@pytest_twisted.ensureDeferred
async def test_completion_is_streamed_from_an_engine(world, assistant):
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
async def test_plain_call_with_idempotency_key_runs_once(world, orders):
    world.plain("plain-1")
    world.publish(orders)
    world.daemon("entry-1")
    await world.ready()
    answer = await world.order("entry-1", "order-1")
    assert answer.status == 200
    assert len(world.plains["plain-1"].calls) == 1


@pytest_twisted.ensureDeferred
async def test_higher_tier_of_one_daemon_preempts_lower_tier_of_another(world, assistant):
    from twisted.internet.defer import ensureDeferred

    world.engine("engine-1", decode_ms=10.0, max_batch=1, kv_capacity_tokens=2_000)
    assistant["routes"][0]["max_output_tokens"] = 100
    assistant["routes"][1]["max_output_tokens"] = 300
    world.publish(assistant)
    for name in ("entry-1", "entry-2"):
        world.daemon(name)
    await world.ready()
    note_requests = [
        ensureDeferred(world.chat("entry-1", f"note {i} answer_tokens=200", model="notes"))
        for i in range(2)
    ]
    engine = world.engines["engine-1"]
    await world.until(lambda: engine.running)
    everyday_answer = await world.chat("entry-2", "how warm? answer_tokens=10")
    assert everyday_answer.status == 200
    # One note was preempted: the higher-tier request did not wait for it to finish.
    assert [entry.end.value for entry in engine.served if entry.end] == ["cancelled", "done"]
    ended = [await note_request for note_request in note_requests]
    assert [answer.status for answer in ended] == [200, 200]
