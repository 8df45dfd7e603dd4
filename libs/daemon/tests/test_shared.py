"""Guards against work sent to leaving upstreams and against wrong views of which daemons are up."""

import pytest_twisted


@pytest_twisted.async_yield_fixture
async def cluster(world, assistant):
    """Start three daemons with two engines."""
    for name in ("engine-1", "engine-2"):
        world.engine(name)
    world.publish(assistant)
    for name in ("entry-1", "entry-2", "entry-3"):
        world.daemon(name)
    await world.ready()
    yield world


@pytest_twisted.ensureDeferred
async def test_leaving_upstream_gets_no_new_work_from_any_daemon(cluster):
    cluster.set_faults("engine-1", leaving=True)
    daemons = cluster.daemons.values()
    await cluster.until(lambda: all(daemon.is_leaving("engine-1") for daemon in daemons))
    before = len(cluster.engines["engine-1"].served)
    for i in range(9):
        assert (await cluster.chat(f"entry-{1 + i % 3}", f"{i}")).status == 200
    assert len(cluster.engines["engine-1"].served) == before


@pytest_twisted.ensureDeferred
async def test_refusal_of_a_leaving_upstream_reaches_no_caller(cluster):
    cluster.set_faults("engine-1", leaving=True)
    answers = [await cluster.chat("entry-1", f"{i}") for i in range(6)]
    assert [answer.status for answer in answers] == [200] * 6


@pytest_twisted.ensureDeferred
async def test_upstream_marked_as_leaving_in_the_host_list_is_leaving(cluster):
    from skylarkmoor_standins.hosts_model import HostChange

    cluster.hosts.change(HostChange(leaving=("engine-2",)), cluster.clock.wall_ms())
    daemons = cluster.daemons.values()
    await cluster.until(lambda: all(daemon.is_leaving("engine-2") for daemon in daemons))


@pytest_twisted.ensureDeferred
async def test_daemon_that_dies_without_announcement_becomes_unreachable(cluster):
    stopped_daemon = cluster.daemons["entry-3"]
    stopped_daemon._tasks.stop()
    stopped_daemon._peers.close()
    others = [cluster.daemons[name] for name in ("entry-1", "entry-2")]
    await cluster.until(lambda: all("entry-3" not in other.reachable() for other in others))
    assert (await cluster.chat("entry-1", "hello")).status == 200


@pytest_twisted.ensureDeferred
async def test_daemons_rejoin_after_a_network_partition(cluster, monkeypatch):
    # Guards against each side sending only to hosts that it considers alive, so that neither side
    # receives from the other again after the partition has healed.
    daemons = cluster.daemons
    with monkeypatch.context() as cut:
        for name, daemon in daemons.items():
            cut.setattr(daemon, "send", _drop_across_cut(daemon.send, name == "entry-3"))
        await cluster.until(
            lambda: (
                daemons["entry-1"].reachable() == ["entry-2"]
                and daemons["entry-2"].reachable() == ["entry-1"]
                and daemons["entry-3"].reachable() == []
            )
        )
    await cluster.until(
        lambda: all(len(daemon.reachable()) == 2 for daemon in daemons.values()), limit_s=30.0
    )


def _drop_across_cut(send, is_cut_off_side):
    def send_unless_cut(to, message):
        if (to == "entry-3") == is_cut_off_side:
            send(to, message)

    return send_unless_cut
