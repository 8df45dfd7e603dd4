"""Guards against at-most-once calls that run twice or report a wrong outcome."""

import msgspec
import pytest
import pytest_twisted


@pytest_twisted.async_yield_fixture
async def cluster(world, orders):
    """Three daemons in front of one plain service."""
    world.plain("plain-1")
    orders["routes"][0]["deadline_ms"] = 3_000
    world.publish(orders)
    for name in ("entry-1", "entry-2", "entry-3"):
        world.daemon(name)
    await world.ready()
    yield world


def _executed_calls(world):
    return [call for plain in world.plains.values() for call in plain.calls]


def _set_log_faults(world, **faults):
    world.log.faults = msgspec.structs.replace(world.log.faults, **faults)


@pytest_twisted.ensureDeferred
async def test_concurrent_copies_on_several_daemons_run_once_and_share_the_answer(cluster):
    from twisted.internet.defer import ensureDeferred

    cluster.plains["plain-1"]._service_ms = 300
    issued = cluster.clock.wall_ms()
    copies = [
        ensureDeferred(cluster.order(f"entry-{1 + i % 3}", "k", issued=issued)) for i in range(6)
    ]
    answers = [await copy for copy in copies]
    assert [answer.status for answer in answers] == [200] * 6
    assert len({answer.body for answer in answers}) == 1
    assert len(_executed_calls(cluster)) == 1


@pytest_twisted.ensureDeferred
async def test_resend_after_completion_gets_the_first_answer(cluster):
    issued = cluster.clock.wall_ms()
    first = await cluster.order("entry-1", "k", issued=issued)
    resent = await cluster.order("entry-2", "k", issued=issued)
    assert (resent.status, resent.body) == (200, first.body)
    assert len(_executed_calls(cluster)) == 1


@pytest_twisted.ensureDeferred
async def test_equal_keys_of_different_customers_are_independent(cluster):
    answers = [await cluster.order("entry-1", "k", customer=name) for name in ("depot", "council")]
    assert [answer.status for answer in answers] == [200, 200]
    assert len(_executed_calls(cluster)) == 2


@pytest_twisted.ensureDeferred
async def test_key_with_another_body_is_refused_as_not_run(cluster):
    await cluster.order("entry-1", "k", body={"item": 1})
    answer = await cluster.order("entry-2", "k", body={"item": 2})
    assert answer.error() == ("key_reused", "not_run")
    assert len(_executed_calls(cluster)) == 1


@pytest_twisted.ensureDeferred
async def test_log_outage_refuses_as_unknown_and_the_key_works_afterwards(cluster):
    _set_log_faults(cluster, outage=True)
    refused = await cluster.order("entry-1", "k")
    assert refused.error() == ("log_unavailable", "unknown")
    assert (await cluster.order("entry-1", "x", route="stock")).status == 200
    _set_log_faults(cluster, outage=False)

    async def resend():
        return (await cluster.order("entry-1", "k")).status == 200

    for _ in range(50):
        if await resend():
            break
        await cluster.sleep(0.1)
    assert [call.route for call in _executed_calls(cluster)] == ["stock", "order"]


@pytest_twisted.ensureDeferred
async def test_lost_append_responses_do_not_run_a_call_twice(cluster):
    _set_log_faults(cluster, lost_answers=1)
    issued = cluster.clock.wall_ms()
    first = await cluster.order("entry-1", "k", issued=issued)
    _set_log_faults(cluster, lost_answers=0)
    resent = await cluster.order("entry-2", "k", issued=issued)
    assert first.status == 200
    assert (resent.status, resent.body) == (200, first.body)
    assert len(_executed_calls(cluster)) == 1


@pytest_twisted.ensureDeferred
async def test_claim_is_released_without_a_usable_upstream_and_the_resend_runs(world, orders):
    orders["routes"][0]["deadline_ms"] = 1_000
    world.publish(orders)
    world.plain("plain-1")
    world.daemon("entry-1")
    await world.ready()
    world.set_faults("plain-1", leaving=True)
    await world.until(lambda: world.daemons["entry-1"].is_leaving("plain-1"))
    issued = world.clock.wall_ms()
    refused = await world.order("entry-1", "k", issued=issued)
    assert refused.error()[1] == "not_run"
    assert _executed_calls(world) == []
    world.plain("plain-2")
    await world.ready()
    for _ in range(50):
        if (await world.order("entry-1", "k", issued=issued)).status == 200:
            break
        await world.sleep(0.1)
    assert len(_executed_calls(world)) == 1


@pytest_twisted.ensureDeferred
async def test_call_whose_response_was_lost_is_unknown_and_never_run_again(cluster):
    cluster.set_faults("plain-1", lost_answers=1)
    issued = cluster.clock.wall_ms()
    first = await cluster.order("entry-1", "k", issued=issued)
    again = await cluster.order("entry-2", "k", issued=issued)
    assert first.error() == ("upstream_failed", "unknown")
    assert again.error() == ("upstream_failed", "unknown")
    assert len(_executed_calls(cluster)) == 1


@pytest_twisted.ensureDeferred
async def test_error_status_of_the_service_is_unknown_and_not_retried(cluster):
    cluster.set_faults("plain-1", error_rate=1.0)
    answer = await cluster.order("entry-1", "k")
    assert answer.error() == ("upstream_failed", "unknown")
    assert len(_executed_calls(cluster)) == 1


@pytest_twisted.ensureDeferred
async def test_resend_is_unknown_after_the_holder_stopped(cluster):
    issued = cluster.clock.wall_ms()
    assert (await cluster.order("entry-1", "k", issued=issued)).status == 200
    await cluster.stop_daemon("entry-1")
    await cluster.until(lambda: "entry-1" not in cluster.daemons["entry-2"].reachable())
    again = await cluster.order("entry-2", "k", issued=issued)
    assert again.error() == ("upstream_failed", "unknown")
    assert len(_executed_calls(cluster)) == 1


@pytest_twisted.ensureDeferred
async def test_result_received_after_the_deadline_is_kept_for_a_resend(cluster):
    cluster.plains["plain-1"]._service_ms = 1_500
    issued = cluster.clock.wall_ms()
    url = cluster.urls["entry-1"] + "/v1/call/order"
    late = await cluster.web.ask(
        "POST",
        url,
        b'{"item":1}',
        {
            "X-Customer": "depot",
            "Idempotency-Key": f'"k"; issued={issued}',
            "X-Deadline-Ms": str(issued + 800),
        },
    )
    assert late.error() == ("deadline_passed", "unknown")
    resend = await cluster.order("entry-2", "k", issued=issued)
    assert resend.status == 200
    assert len(_executed_calls(cluster)) == 1


@pytest.mark.parametrize("count", [100])
@pytest_twisted.ensureDeferred
async def test_many_keys_share_appends(cluster, count):
    from twisted.internet.defer import ensureDeferred

    before = sum(len(stream.records) for stream in _claim_streams(cluster))
    requests = [ensureDeferred(cluster.order(f"entry-{1 + i % 3}", f"k{i}")) for i in range(count)]
    assert [(await request).status for request in requests] == [200] * count
    assert len(_executed_calls(cluster)) == count
    assert sum(len(stream.records) for stream in _claim_streams(cluster)) - before < count


def _claim_streams(world):
    return [stream for name, stream in world.log._streams.items() if name.startswith("claims-")]
