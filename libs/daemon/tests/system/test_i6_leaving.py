"""Guards against new work for upstreams that are leaving."""

import itertools
import threading
import time

import pytest

from skylarkmoor_standins.harness import wait_until

DAEMONS = ["entry-1", "entry-2", "entry-3"]
ENGINES = ["engine-1", "engine-2", "engine-3", "engine-4"]
PLAINS = ["plain-1", "plain-2"]
# The design page: no new work after a few seconds; the tests allow five.
NO_NEW_WORK_AFTER_S = 5.0
# Duration of traffic after that, in which a daemon that has not been told would still send work.
PROBE_DURATION_S = 2.5


@pytest.fixture(scope="module")
def system(new_system, orders, assistant):
    system = new_system()
    system.start_platform()
    system.start_engines(ENGINES, "--decode-ms", "5")
    system.start_plain_services(PLAINS, "--service-ms", "20")
    system.start_daemons(DAEMONS)
    system.publish(orders)
    system.publish(assistant)
    system.wait_until_converged()
    return system


class Traffic:
    """Sends short requests through every daemon continuously and collects the answers."""

    def __init__(self, system):
        self.chats = []
        self.answers = []
        self._system = system
        self._stopped = threading.Event()
        self._numbers = itertools.count()

    def __enter__(self):
        work = [self._chat, self._chat, self._call]
        self._futures = [self._system.spawn(each, daemon) for daemon in DAEMONS for each in work]
        return self

    def __exit__(self, *error):
        self._stopped.set()
        for future in self._futures:
            future.result()

    def _chat(self, daemon):
        while not self._stopped.is_set():
            prompt = f"traffic {next(self._numbers)} answer_tokens=8"
            self.chats.append(self._system.chat(daemon, prompt))

    def _call(self, daemon):
        while not self._stopped.is_set():
            body = {"number": next(self._numbers)}
            self.answers.append(self._system.stock(daemon, body))


def assert_all_served(traffic):
    faulty = [chat for chat in traffic.chats if not chat.is_complete]
    assert not faulty, faulty[0]
    refused = [answer for answer in traffic.answers if answer.status != 200]
    assert not refused, refused[0]


def arrival_times_ms(system, name):
    return [entry["arrived_ms"] for entry in system.served(name)]


@pytest.fixture(scope="module")
def leaving_results(system):
    """Let some upstreams announce that they leave, and mark another as leaving in the host list.

    Returns
    -------
    tuple
        The traffic, the result of a long stream, and the time from which no work may arrive.
    """
    with Traffic(system) as traffic:
        for name in ("engine-1", "engine-2"):
            wait_until(
                lambda name=name: len(arrival_times_ms(system, name)) > 3, 10.0, f"{name} has work"
            )
        long_stream = system.spawn(system.chat, "entry-1", "goes on answer_tokens=400")
        for name in ("engine-1", "plain-1"):
            system.set_faults(name, leaving=True)
        system.change_hosts(leaving=["engine-2"])
        time.sleep(NO_NEW_WORK_AFTER_S)
        # From here on they accept requests again, so that wrongly sent work is recorded.
        bound_ms = time.time() * 1_000
        for name in ("engine-1", "plain-1"):
            system.set_faults(name, leaving=False)
        time.sleep(PROBE_DURATION_S)
    return traffic, long_stream.result(), bound_ms


def test_upstreams_that_say_they_are_leaving_get_no_new_work(system, leaving_results):
    """Daemons that are not told by the upstream itself would go on sending it work."""
    _, _, bound_ms = leaving_results
    assert [at_ms for at_ms in arrival_times_ms(system, "engine-1") if at_ms >= bound_ms] == []
    assert [call for call in system.calls("plain-1") if call["at_ms"] >= bound_ms] == []


def test_an_upstream_that_the_list_shows_as_leaving_gets_no_new_work(system, leaving_results):
    """The upstream still accepts work, so a daemon that ignores the list would send it some."""
    _, _, bound_ms = leaving_results
    assert [at_ms for at_ms in arrival_times_ms(system, "engine-2") if at_ms >= bound_ms] == []


def test_callers_notice_nothing_of_upstreams_that_are_leaving(leaving_results):
    """A refusal by a leaving upstream must be retried on another one, as nothing has run."""
    traffic, long_stream, _ = leaving_results
    assert_all_served(traffic)
    assert long_stream.is_complete


def test_an_upstream_that_was_replaced_gets_work_again(system):
    """If leaving applied to the name instead of the incarnation, a replacement would stay idle."""
    system.processes.kill("engine-1")
    system.start_engines(["engine-1"], "--decode-ms", "5")
    wait_until(
        lambda: not any(is_shown_as_leaving(system, daemon, "engine-1") for daemon in DAEMONS),
        NO_NEW_WORK_AFTER_S,
        "engine-1 is not leaving any more",
    )
    # Routing prefers engines known to be fast, so the others are removed from the choice.
    system.change_hosts(leaving=["engine-3", "engine-4"])
    with Traffic(system) as traffic:
        wait_until(lambda: len(arrival_times_ms(system, "engine-1")) > 3, 10.0, "engine-1 has work")
    assert_all_served(traffic)


def is_shown_as_leaving(system, daemon, upstream):
    return system.status(daemon)["services"]["assistant"]["upstreams"][upstream]["leaving"]
