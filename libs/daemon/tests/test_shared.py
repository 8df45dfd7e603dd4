"""Guards shared state: dead daemons, leaving upstreams and their spreading."""

import pytest_twisted


@pytest_twisted.async_yield_fixture
async def served(world, assistant):
    """Three daemons before two engines."""
    for name in ("engine-1", "engine-2"):
        world.engine(name)
    world.publish(assistant)
    for name in ("entry-1", "entry-2", "entry-3"):
        world.daemon(name)
    await world.ready()
    yield world


@pytest_twisted.ensureDeferred
async def test_leaving_upstream_gets_no_new_work_from_any_daemon(served):
    served.set_faults("engine-1", leaving=True)
    daemons = served.daemons.values()
    await served.until(lambda: all(daemon.is_leaving("engine-1") for daemon in daemons))
    before = len(served.engines["engine-1"].served)
    for i in range(9):
        assert (await served.chat(f"entry-{1 + i % 3}", f"{i}")).status == 200
    assert len(served.engines["engine-1"].served) == before


@pytest_twisted.ensureDeferred
async def test_refusal_of_a_leaving_upstream_reaches_no_caller(served):
    served.set_faults("engine-1", leaving=True)
    answers = [await served.chat("entry-1", f"{i}") for i in range(6)]
    assert [answer.status for answer in answers] == [200] * 6


@pytest_twisted.ensureDeferred
async def test_leaving_by_the_host_list_counts_as_well(served):
    from skylarkmoor_standins.hosts_model import HostChange

    served.hosts.change(HostChange(leaving=("engine-2",)), served.clock.wall_ms())
    daemons = served.daemons.values()
    await served.until(lambda: all(daemon.is_leaving("engine-2") for daemon in daemons))


@pytest_twisted.ensureDeferred
async def test_daemon_that_ends_without_a_word_is_noticed(served):
    silent = served.daemons["entry-3"]
    silent._tasks.stop()
    silent._peers.close()
    others = [served.daemons[name] for name in ("entry-1", "entry-2")]
    await served.until(lambda: all("entry-3" not in other.reachable() for other in others))
    assert (await served.chat("entry-1", "hello")).status == 200


@pytest_twisted.ensureDeferred
async def test_daemons_join_again_after_a_network_cut(served, monkeypatch):
    # Each side sent to hosts that it took for live only, so neither heard of the other again.
    daemons = served.daemons
    with monkeypatch.context() as cut:
        for name, daemon in daemons.items():
            cut.setattr(daemon, "send", _within_side(daemon.send, name == "entry-3"))
        await served.until(
            lambda: (
                daemons["entry-1"].reachable() == ["entry-2"]
                and daemons["entry-2"].reachable() == ["entry-1"]
                and daemons["entry-3"].reachable() == []
            )
        )
    await served.until(
        lambda: all(len(daemon.reachable()) == 2 for daemon in daemons.values()), limit_s=30.0
    )


def _within_side(send, is_cut_off):
    def send_unless_cut(to, message):
        if (to == "entry-3") == is_cut_off:
            send(to, message)

    return send_unless_cut
