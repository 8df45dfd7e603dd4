"""Guards calls that must not run twice, and the outcomes that their callers are told."""

import msgspec
import pytest
import pytest_twisted


@pytest_twisted.async_yield_fixture
async def served(world, orders):
    """Three daemons before one plain service."""
    world.plain("plain-1")
    orders["routes"][0]["deadline_ms"] = 3_000
    world.publish(orders)
    for name in ("entry-1", "entry-2", "entry-3"):
        world.daemon(name)
    await world.ready()
    yield world


def _calls(world):
    return [call for plain in world.plains.values() for call in plain.calls]


def _log_faults(world, **faults):
    world.log.faults = msgspec.structs.replace(world.log.faults, **faults)


@pytest_twisted.ensureDeferred
async def test_copies_sent_to_several_daemons_run_once_and_share_the_answer(served):
    from twisted.internet.defer import ensureDeferred

    served.plains["plain-1"]._service_ms = 300
    issued = served.clock.wall_ms()
    copies = [
        ensureDeferred(served.order(f"entry-{1 + i % 3}", "k", issued=issued)) for i in range(6)
    ]
    answers = [await copy for copy in copies]
    assert [answer.status for answer in answers] == [200] * 6
    assert len({answer.body for answer in answers}) == 1
    assert len(_calls(served)) == 1


@pytest_twisted.ensureDeferred
async def test_late_resend_gets_the_first_answer(served):
    issued = served.clock.wall_ms()
    first = await served.order("entry-1", "k", issued=issued)
    second = await served.order("entry-2", "k", issued=issued)
    assert (second.status, second.body) == (200, first.body)
    assert len(_calls(served)) == 1


@pytest_twisted.ensureDeferred
async def test_keys_of_different_customers_do_not_meet(served):
    answers = [await served.order("entry-1", "k", customer=name) for name in ("depot", "council")]
    assert [answer.status for answer in answers] == [200, 200]
    assert len(_calls(served)) == 2


@pytest_twisted.ensureDeferred
async def test_key_with_another_body_is_refused_as_not_run(served):
    await served.order("entry-1", "k", body={"item": 1})
    answer = await served.order("entry-2", "k", body={"item": 2})
    assert answer.error() == ("key_reused", "not_run")
    assert len(_calls(served)) == 1


@pytest_twisted.ensureDeferred
async def test_log_outage_refuses_as_unknown_and_the_key_works_afterwards(served):
    _log_faults(served, outage=True)
    refused = await served.order("entry-1", "k")
    assert refused.error() == ("log_unavailable", "unknown")
    assert (await served.order("entry-1", "x", route="stock")).status == 200
    _log_faults(served, outage=False)

    async def resend():
        return (await served.order("entry-1", "k")).status == 200

    for _ in range(50):
        if await resend():
            break
        await served.sleep(0.1)
    assert [call.route for call in _calls(served)] == ["stock", "order"]


@pytest_twisted.ensureDeferred
async def test_lost_answers_of_the_log_do_not_run_a_call_twice(served):
    _log_faults(served, lost_answers=1)
    issued = served.clock.wall_ms()
    first = await served.order("entry-1", "k", issued=issued)
    _log_faults(served, lost_answers=0)
    second = await served.order("entry-2", "k", issued=issued)
    assert first.status == 200
    assert (second.status, second.body) == (200, first.body)
    assert len(_calls(served)) == 1


@pytest_twisted.ensureDeferred
async def test_call_without_an_upstream_is_released_and_runs_when_resent(world, orders):
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
    assert _calls(world) == []
    world.plain("plain-2")
    await world.ready()
    for _ in range(50):
        if (await world.order("entry-1", "k", issued=issued)).status == 200:
            break
        await world.sleep(0.1)
    assert len(_calls(world)) == 1


@pytest_twisted.ensureDeferred
async def test_call_without_an_answer_is_unknown_and_never_run_again(served):
    served.set_faults("plain-1", lost_answers=1)
    issued = served.clock.wall_ms()
    first = await served.order("entry-1", "k", issued=issued)
    again = await served.order("entry-2", "k", issued=issued)
    assert first.error() == ("upstream_failed", "unknown")
    assert again.error() == ("upstream_failed", "unknown")
    assert len(_calls(served)) == 1


@pytest_twisted.ensureDeferred
async def test_error_of_the_service_is_unknown_and_not_retried(served):
    served.set_faults("plain-1", error_rate=1.0)
    answer = await served.order("entry-1", "k")
    assert answer.error() == ("upstream_failed", "unknown")
    assert len(_calls(served)) == 1


@pytest_twisted.ensureDeferred
async def test_resend_is_unknown_when_the_holder_has_gone(served):
    issued = served.clock.wall_ms()
    assert (await served.order("entry-1", "k", issued=issued)).status == 200
    await served.stop_daemon("entry-1")
    await served.until(lambda: "entry-1" not in served.daemons["entry-2"].reachable())
    again = await served.order("entry-2", "k", issued=issued)
    assert again.error() == ("upstream_failed", "unknown")
    assert len(_calls(served)) == 1


@pytest_twisted.ensureDeferred
async def test_result_that_comes_after_the_deadline_is_kept_for_a_resend(served):
    served.plains["plain-1"]._service_ms = 1_500
    issued = served.clock.wall_ms()
    url = served.urls["entry-1"] + "/v1/call/order"
    late = await served.web.ask(
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
    resend = await served.order("entry-2", "k", issued=issued)
    assert resend.status == 200
    assert len(_calls(served)) == 1


@pytest.mark.parametrize("count", [100])
@pytest_twisted.ensureDeferred
async def test_many_keys_share_appends(served, count):
    from twisted.internet.defer import ensureDeferred

    before = sum(len(stream.records) for stream in _claim_streams(served))
    sent = [ensureDeferred(served.order(f"entry-{1 + i % 3}", f"k{i}")) for i in range(count)]
    assert [(await each).status for each in sent] == [200] * count
    assert len(_calls(served)) == count
    assert sum(len(stream.records) for stream in _claim_streams(served)) - before < count


def _claim_streams(world):
    return [stream for name, stream in world.log._streams.items() if name.startswith("claims-")]
