"""Guards against bad versions that reach too many callers and good ones that are delayed."""

import copy
import json
import threading
import time
from dataclasses import dataclass, field

import pytest

from skylarkmoor_standins.harness import HarnessError, get, wait_until

DAEMONS = ["entry-1", "entry-2", "entry-3"]
STEPS_PERCENT = [10, 30, 60, 100]
# Shares that the log records. The first step has none and authorises the commands to load the
# version. The last one leaves a quarter of the traffic to the old version until the move is done.
LOGGED_SHARES_PERCENT = [0, 10, 30, 60, 75]
STEP_MS = 1_000
# Time until the deadline of a move, by which the good version must be fully in service.
MOVE_DEADLINE_S = 30.0
# The design page: a bad version is stopped before 50 requests have failed because of it.
FAILED_REQUESTS_LIMIT = 50
# The design page: gossip pushes facts every 500 ms. Ten rounds are certain to reach three daemons.
STOP_SPREAD_TIMEOUT_S = 5.0

BAD_VERSION_FAULTS = {
    "errors-at-once": {"error_rate": 1.0},
    "errors-later": {"error_rate": 0.5, "after_requests": 12},
    "slow": {"slow_factor": 6.0},
    "one-route": {"error_rate": 1.0, "route_text": "second"},
}
GOOD_SERVICE = "good"
OUTAGE_SERVICE = "outage"
SERVICES = [*BAD_VERSION_FAULTS, GOOD_SERVICE, OUTAGE_SERVICE]


def engines_of(service):
    return [f"{service}-1", f"{service}-2"]


def make_document(assistant, service, with_move=False):
    document = copy.deepcopy(assistant)
    document["service"] = service
    document["tiers"] = [{"name": "gold", "rank": 0, "first_token_ms": 1_000}]
    document["routes"] = [
        {"name": f"{service}-{route}", "tier": "gold", "deadline_ms": 20_000}
        for route in ("first", "second")
    ]
    if with_move:
        document["move"] = {
            "version": "v2",
            "by_ms": int((time.time() + MOVE_DEADLINE_S) * 1_000),
            "steps_percent": STEPS_PERCENT,
            "step_ms": STEP_MS,
            "min_requests": 10,
            # The default rate limit would reduce the shares in a way that the test cannot predict.
            "max_new_requests_per_s": 100_000,
        }
    return document


@dataclass
class Traffic:
    """Steady load on both routes of one service through every daemon."""

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
class MoveRecords:
    """Records of one move in the log and on the engines, and its callers' results."""

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
        faults = json.dumps({"versions": {"v2": BAD_VERSION_FAULTS.get(service, {})}})
        system.start_engines(
            engines_of(service),
            *("--decode-ms", "4", "--load-ms", "300", "--max-batch", "16"),
            *("--faults", faults),
            service=service,
        )
    system.start_daemons(DAEMONS)
    for service in SERVICES:
        system.publish(make_document(assistant, service))
    system.wait_until_converged()
    return system


@pytest.fixture(scope="module")
def moves(system, assistant):
    """Run all moves except the one of the outage concurrently, and return their records."""
    services = [*BAD_VERSION_FAULTS, GOOD_SERVICE]
    traffic = {service: Traffic(system, service) for service in services}
    for each in traffic.values():
        each.start()
    # The daemons need measurements of the old version before the move starts.
    time.sleep(2.0)
    offsets = {
        service: system.publish(make_document(assistant, service, with_move=True))
        for service in services
    }
    try:
        wait_until(
            lambda: all(end_record(system, service, offsets[service]) for service in services),
            MOVE_DEADLINE_S + STOP_SPREAD_TIMEOUT_S,
            "all moves have ended",
        )
        time.sleep(STOP_SPREAD_TIMEOUT_S + 1.0)
    except HarnessError as error:
        # The tests report which of the moves has not ended.
        print(error)
    finally:
        for each in traffic.values():
            each.stop()
    shown = system.run_skylarkmoorctl("moves")
    return {
        service: collect_move(
            system, service, offsets[service], traffic[service].chats, shown.stdout
        )
        for service in services
    }


def log_records_of_move(system, service, offset, kind):
    return [
        entry
        for entry in system.records("moves")
        if entry["data"]["type"] == kind and entry["data"]["move"] == f"{service}@{offset}"
    ]


def end_record(system, service, offset):
    ended = log_records_of_move(system, service, offset, "MoveEnded")
    return ended[0] if ended else None


def collect_move(system, service, offset, chats, shown):
    new = [entry for entry in system.served(*engines_of(service)) if entry["version"] == "v2"]
    failed = {entry["attempt"].rpartition(".")[0] for entry in new if entry["end"] == "error"}
    return MoveRecords(
        steps=log_records_of_move(system, service, offset, "MoveStep"),
        ended=end_record(system, service, offset),
        arrivals=[entry["arrived_ms"] for entry in new],
        requests={entry["attempt"].rpartition(".")[0] for entry in new},
        failed=failed,
        chats=chats,
        moves_text=shown,
    )


@pytest.mark.parametrize("service", BAD_VERSION_FAULTS)
def test_a_bad_version_is_undone_and_the_operator_sees_why(moves, service):
    """After a silent rollback the team would believe that the new version is in service."""
    move = moves[service]
    assert move.steps, "the move never began"
    assert move.ended is not None, "the move was not ended"
    assert move.ended["data"]["result"] == "undone"
    assert f"{service}: move" in move.moves_text
    why = move.ended["data"]["why"]
    assert why in move.moves_text
    # The reason must give the evidence, which has numbers, and not only say that it was stopped.
    assert any(character.isdigit() for character in why), why


@pytest.mark.parametrize("service", BAD_VERSION_FAULTS)
def test_fewer_than_fifty_requests_fail_because_of_a_bad_version(moves, service):
    """Evidence that spreads or is evaluated too slowly makes more requests fail."""
    move = moves[service]
    assert move.arrivals, "the new version got no request"
    assert len(move.failed) < FAILED_REQUESTS_LIMIT
    assert sum(not chat.is_complete for chat in move.chats) < FAILED_REQUESTS_LIMIT


@pytest.mark.parametrize("service", BAD_VERSION_FAULTS)
def test_a_bad_version_takes_at_most_its_published_share(moves, service):
    """A daemon ahead of the log would send the version more requests than the step allows."""
    move = moves[service]
    assert move.steps, "the move never began"
    shares = [step["data"]["share_percent"] for step in move.steps]
    assert shares == LOGGED_SHARES_PERCENT[: len(shares)]
    first_ms = move.steps[0]["at_ms"]
    assert [at_ms for at_ms in move.arrivals if at_ms < first_ms] == []
    last_share = shares[-1]
    # A hash of its id assigns each request to a version for good, so the number of requests varies
    # like a random sample; four standard deviations are allowed.
    expected_max = len(move.chats) * last_share / 100
    assert len(move.requests) <= expected_max + 4 * expected_max**0.5


@pytest.mark.parametrize("service", BAD_VERSION_FAULTS)
def test_a_stopped_version_gets_nothing_any_more(moves, service):
    """A daemon that does not learn of the stop would keep sending requests to the bad version."""
    move = moves[service]
    assert move.ended is not None, "the move was not ended"
    bound_ms = move.ended["at_ms"] + STOP_SPREAD_TIMEOUT_S * 1_000
    assert [at_ms for at_ms in move.arrivals if at_ms > bound_ms] == []


def test_a_good_version_is_done_by_its_time_without_a_failed_request(moves):
    """Evidence rules that are too strict would delay or undo a good version."""
    move = moves[GOOD_SERVICE]
    assert move.ended is not None, "the move was not ended"
    assert move.ended["data"]["result"] == "done", move.ended
    shares = [step["data"]["share_percent"] for step in move.steps]
    assert shares == LOGGED_SHARES_PERCENT
    assert move.failed == set()
    incomplete = [chat for chat in move.chats if not chat.is_complete]
    assert not incomplete, incomplete[0]


def test_a_bad_version_is_stopped_while_the_log_is_down(system, moves, assistant):
    """A stop that waits for the log would prolong the failures; its record may follow later."""
    traffic = Traffic(system, OUTAGE_SERVICE)
    traffic.start()
    try:
        time.sleep(1.0)
        offset = system.publish(make_document(assistant, OUTAGE_SERVICE, with_move=True))
        wait_until(
            lambda: any(
                entry["version"] == "v2" for entry in system.served(*engines_of(OUTAGE_SERVICE))
            ),
            15.0,
            "the new version has got requests",
        )
        system.set_faults("log", outage=True)
        for name in engines_of(OUTAGE_SERVICE):
            system.set_faults(name, versions={"v2": {"error_rate": 1.0}})
        wait_until(
            lambda: is_stopped_on_all_daemons(system),
            15.0,
            "every daemon shows the move as stopped",
        )
        # A request that is in flight at this time may still arrive.
        bound_ms = (time.time() + 1.0) * 1_000
        time.sleep(3.0)
        system.set_faults("log", outage=False)
        wait_until(
            lambda: end_record(system, OUTAGE_SERVICE, offset) is not None,
            10.0,
            "the end of the move is in the log",
        )
    finally:
        system.set_faults("log", outage=False)
        traffic.stop()
    move = collect_move(system, OUTAGE_SERVICE, offset, traffic.chats, "")
    assert move.ended["data"]["result"] == "undone"
    assert len(move.failed) < FAILED_REQUESTS_LIMIT
    assert [at_ms for at_ms in move.arrivals if at_ms > bound_ms] == []


def is_stopped_on_all_daemons(system):
    """Return whether every daemon shows the move as stopped."""
    shown = [get(system.url(daemon, "/admin/moves"))[1]["moves"] for daemon in DAEMONS]
    return all(
        any(move["service"] == OUTAGE_SERVICE and move["stopped"] for move in moves)
        for moves in shown
    )


def test_daemons_show_the_moves(system, moves):
    """Each daemon must show all moves, because operators may query any of them."""
    for daemon in DAEMONS:
        status, body = get(system.url(daemon, "/admin/moves"))
        assert status == 200
        shown = str(body["moves"])
        for service in [*BAD_VERSION_FAULTS, GOOD_SERVICE]:
            assert service in shown, shown
