"""Guards callers against bad versions, and good versions against being held up."""

import copy
import json
import threading
import time
from dataclasses import dataclass, field

import pytest

from skylarkmoor_standins.harness import HarnessError, get, wait_until

DAEMONS = ["entry-1", "entry-2", "entry-3"]
STEPS_PERCENT = [10, 30, 60, 100]
# The first step has no share; it authorises the orders to load the version. The last one leaves
# a quarter of the traffic to the old version until the move is done.
LOGGED_PERCENT = [0, 10, 30, 60, 75]
STEP_MS = 1_000
# The good version has to be everywhere by then.
BY_S = 30.0
# The design page: a bad version is stopped before 50 requests have failed because of it.
MOST_FAILED = 50
# The design page: gossip pushes facts every 500 ms. Ten rounds reach three daemons for certain.
STOPPED_EVERYWHERE_S = 5.0

BAD = {
    "errors-at-once": {"error_rate": 1.0},
    "errors-later": {"error_rate": 0.5, "after_requests": 12},
    "slow": {"slow_factor": 6.0},
    "one-route": {"error_rate": 1.0, "route_text": "second"},
}
GOOD = "good"
OUTAGE = "outage"
SERVICES = [*BAD, GOOD, OUTAGE]


def engines_of(service):
    return [f"{service}-1", f"{service}-2"]


def make_document(assistant, service, moving=False):
    document = copy.deepcopy(assistant)
    document["service"] = service
    document["tiers"] = [{"name": "gold", "rank": 0, "first_token_ms": 1_000}]
    document["routes"] = [
        {"name": f"{service}-{route}", "tier": "gold", "deadline_ms": 20_000}
        for route in ("first", "second")
    ]
    if moving:
        document["move"] = {
            "version": "v2",
            "by_ms": int((time.time() + BY_S) * 1_000),
            "steps_percent": STEPS_PERCENT,
            "step_ms": STEP_MS,
            "min_requests": 10,
            # The default lowers the shares to what the rate allows, so they could not be foretold.
            "max_new_requests_per_s": 100_000,
        }
    return document


@dataclass
class Traffic:
    """Steady requests to the routes of one service by way of every daemon."""

    system: object
    service: str
    chats: list = field(default_factory=list)
    stopped: threading.Event = field(default_factory=threading.Event)
    futures: list = field(default_factory=list)

    def start(self):
        for i in range(6):
            self.futures.append(self.system.spawn(self._send, i))

    def stop(self):
        self.stopped.set()
        for future in self.futures:
            future.result()

    def _send(self, i):
        daemon = DAEMONS[i % 3]
        number = 0
        while not self.stopped.wait(0.1):
            route = ("first", "second")[number % 2]
            number += 1
            prompt = f"{self.service} {route} {i} {number} answer_tokens=6"
            chat = self.system.chat(daemon, prompt, f"{self.service}-{route}")
            self.chats.append(chat)


@dataclass
class Move:
    """What the log and the engines recorded of one move."""

    steps: list
    ended: dict | None
    arrivals: list
    requests: set
    failed: set
    chats: list
    moves_text: str = ""


@pytest.fixture(scope="module")
def system(new_system, assistant):
    system = new_system()
    system.start_platform()
    for service in SERVICES:
        faults = json.dumps({"versions": {"v2": BAD.get(service, {})}})
        system.start_engines(
            engines_of(service),
            *("--decode-ms", "4", "--load-ms", "300", "--max-batch", "16"),
            *("--faults", faults),
            service=service,
        )
    system.start_daemons(DAEMONS)
    for service in SERVICES:
        system.publish(make_document(assistant, service))
    system.wait_settled()
    return system


@pytest.fixture(scope="module")
def moves(system, assistant):
    """Run all moves but the one of the outage at the same time, and return their records."""
    services = [*BAD, GOOD]
    traffic = {service: Traffic(system, service) for service in services}
    for each in traffic.values():
        each.start()
    # The old version has to have been measured before.
    time.sleep(2.0)
    offsets = {
        service: system.publish(make_document(assistant, service, moving=True))
        for service in services
    }
    try:
        wait_until(
            lambda: all(ending(system, service, offsets[service]) for service in services),
            BY_S + STOPPED_EVERYWHERE_S,
            "all moves have ended",
        )
        time.sleep(STOPPED_EVERYWHERE_S + 1.0)
    except HarnessError as error:
        # Each test tells which of the moves has not ended.
        print(error)
    finally:
        for each in traffic.values():
            each.stop()
    shown = system.operator("moves")
    return {
        service: collect(system, service, offsets[service], traffic[service].chats, shown.stdout)
        for service in services
    }


def move_records(system, service, offset, kind):
    return [
        entry
        for entry in system.records("moves")
        if entry["data"]["type"] == kind and entry["data"]["move"] == f"{service}@{offset}"
    ]


def ending(system, service, offset):
    ended = move_records(system, service, offset, "MoveEnded")
    return ended[0] if ended else None


def collect(system, service, offset, chats, shown):
    new = [entry for entry in system.served(*engines_of(service)) if entry["version"] == "v2"]
    failed = {entry["attempt"].rpartition(".")[0] for entry in new if entry["end"] == "error"}
    return Move(
        steps=move_records(system, service, offset, "MoveStep"),
        ended=ending(system, service, offset),
        arrivals=[entry["arrived_ms"] for entry in new],
        requests={entry["attempt"].rpartition(".")[0] for entry in new},
        failed=failed,
        chats=chats,
        moves_text=shown,
    )


@pytest.mark.parametrize("service", BAD)
def test_a_bad_version_is_undone_and_the_operator_sees_why(moves, service):
    """A move that fails silently leaves its team believing that the version is in service."""
    move = moves[service]
    assert move.steps, "the move never began"
    assert move.ended is not None, "the move was not ended"
    assert move.ended["data"]["result"] == "undone"
    assert f"{service}: move" in move.moves_text
    why = move.ended["data"]["why"]
    assert why in move.moves_text
    # That the version was stopped is no reason; the evidence is, and it has numbers.
    assert any(character.isdigit() for character in why), why


@pytest.mark.parametrize("service", BAD)
def test_fewer_than_fifty_requests_fail_because_of_a_bad_version(moves, service):
    """Evidence that is spread too slowly, or judged too late, costs callers their answers."""
    move = moves[service]
    assert move.arrivals, "the new version got no request"
    assert len(move.failed) < MOST_FAILED
    assert sum(not chat.whole for chat in move.chats) < MOST_FAILED


@pytest.mark.parametrize("service", BAD)
def test_a_bad_version_takes_at_most_its_published_share(moves, service):
    """A daemon that steps ahead of the log would expose more callers than were voted for."""
    move = moves[service]
    assert move.steps, "the move never began"
    shares = [step["data"]["share_percent"] for step in move.steps]
    assert shares == LOGGED_PERCENT[: len(shares)]
    first_ms = move.steps[0]["at_ms"]
    assert [at_ms for at_ms in move.arrivals if at_ms < first_ms] == []
    last_share = shares[-1]
    # Each request takes the version for good, by a hash of its id, so the share of all requests
    # varies like a random draw; four standard deviations are allowed.
    most = len(move.chats) * last_share / 100
    assert len(move.requests) <= most + 4 * most**0.5


@pytest.mark.parametrize("service", BAD)
def test_a_stopped_version_gets_nothing_any_more(moves, service):
    """A daemon that has not heard of the stop would go on failing its callers."""
    move = moves[service]
    assert move.ended is not None, "the move was not ended"
    bound_ms = move.ended["at_ms"] + STOPPED_EVERYWHERE_S * 1_000
    assert [at_ms for at_ms in move.arrivals if at_ms > bound_ms] == []


def test_a_good_version_is_done_by_its_time_without_a_failed_request(moves):
    """Caution that holds up a good version leaves its team without it."""
    move = moves[GOOD]
    assert move.ended is not None, "the move was not ended"
    assert move.ended["data"]["result"] == "done", move.ended
    shares = [step["data"]["share_percent"] for step in move.steps]
    assert shares == LOGGED_PERCENT
    assert move.failed == set()
    faulty = [chat for chat in move.chats if not chat.whole]
    assert not faulty, faulty[0]


def test_a_bad_version_is_stopped_while_the_log_is_down(system, moves, assistant):
    """The stop must not wait for the log; its record follows when the log answers."""
    traffic = Traffic(system, OUTAGE)
    traffic.start()
    try:
        time.sleep(1.0)
        offset = system.publish(make_document(assistant, OUTAGE, moving=True))
        wait_until(
            lambda: any(entry["version"] == "v2" for entry in system.served(*engines_of(OUTAGE))),
            15.0,
            "the new version has got requests",
        )
        system.set_faults("log", outage=True)
        for name in engines_of(OUTAGE):
            system.set_faults(name, versions={"v2": {"error_rate": 1.0}})
        wait_until(lambda: stopped_everywhere(system), 15.0, "every daemon has stopped it")
        # A request that was being sent at that time may still arrive.
        bound_ms = (time.time() + 1.0) * 1_000
        time.sleep(3.0)
        system.set_faults("log", outage=False)
        wait_until(
            lambda: ending(system, OUTAGE, offset) is not None, 10.0, "the end is in the log"
        )
    finally:
        system.set_faults("log", outage=False)
        traffic.stop()
    move = collect(system, OUTAGE, offset, traffic.chats, "")
    assert move.ended["data"]["result"] == "undone"
    assert len(move.failed) < MOST_FAILED
    assert [at_ms for at_ms in move.arrivals if at_ms > bound_ms] == []


def stopped_everywhere(system):
    """Return whether every daemon knows that the new version was stopped."""
    shown = [get(system.url(daemon, "/admin/moves"))[1]["moves"] for daemon in DAEMONS]
    return all(
        any(move["service"] == OUTAGE and move["stopped"] for move in moves) for moves in shown
    )


def test_daemons_show_the_moves(system, moves):
    """Operators look at any daemon, not only at the log."""
    for daemon in DAEMONS:
        status, body = get(system.url(daemon, "/admin/moves"))
        assert status == 200
        shown = str(body["moves"])
        for service in [*BAD, GOOD]:
            assert service in shown, shown
