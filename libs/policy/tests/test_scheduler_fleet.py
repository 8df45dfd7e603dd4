"""Guards schedulers that share upstreams against priority inversion and overload."""

import heapq
import random
from collections import Counter
from collections.abc import Callable

import pytest

from skylarkmoor_core.document import Customer, Limits, Route, ServiceDocument, ServiceKind, Tier
from skylarkmoor_core.hashing import rendezvous_owner
from skylarkmoor_core.messages import Demand, Grant
from skylarkmoor_core.outcome import ErrorCode
from skylarkmoor_policy.actions import Dispatch, Preempt, Refuse, Send
from skylarkmoor_policy.requests import AttemptEnd, AttemptResult, LoadReport, Request, UpstreamInfo
from skylarkmoor_policy.scheduler import Scheduler

MAX_BATCH = 12
DOMAIN = "d"
DOCUMENT = ServiceDocument(
    service="s",
    kind=ServiceKind.PLAIN,
    tiers=tuple(Tier(name=f"t{i}", rank=i) for i in range(3)),
    routes=(Route(name="r", tier="t0"),),
    customers=tuple(
        Customer(name=name, requests_per_s=10_000, max_waiting=1_000) for name in ("big", "small")
    ),
    version="v1",
    limits=Limits(max_waiting=100),
)

# Returns the delays in milliseconds of each delivered copy of a message; empty if it is lost.
Network = Callable[[random.Random], list[int]]


def _reliable(rng: random.Random) -> list[int]:
    return [1]


def _lossy(rng: random.Random) -> list[int]:
    """Lose, duplicate and reorder messages."""
    return [rng.randint(1, 60) for _ in range(rng.choice([0, 1, 1, 2]))]


class Fleet:
    """Connected schedulers on a simulated clock; attempts run until completed or preempted."""

    def __init__(self, hosts: str, upstreams: int, network: Network = _reliable, seed: int = 1):
        self.now_ms = 0
        self.rng = random.Random(seed)
        self.network = network
        self.events: list = []
        self.event_count = 0
        self.refused: dict[str, ErrorCode] = {}
        self.running: dict[str, tuple[str, Dispatch]] = {}
        self.requests: dict[str, Request] = {}
        self.paused: set[str] = set()
        self.upstream_infos = [UpstreamInfo(f"u{i}", "s", DOMAIN) for i in range(upstreams)]
        self.schedulers = {
            host: Scheduler(host, DOCUMENT, random.Random(seed * 100 + i))
            for i, host in enumerate(hosts)
        }
        for scheduler in self.schedulers.values():
            scheduler.set_upstreams(self.upstream_infos)
            for info in self.upstream_infos:
                scheduler.record_load_report(
                    LoadReport(info.upstream, 1, 0, 0, 0, 0, 0, MAX_BATCH, ("v1",))
                )
        self.set_members(hosts, hosts)
        self.advance(300)

    def set_members(self, hosts: str, members: str) -> None:
        for host in hosts:
            self.schedulers[host].set_members(dict.fromkeys(members, DOMAIN))

    def submit(
        self, host: str, count: int, tier: int, customer: str = "big", deadline_ms: int = 60_000
    ) -> None:
        for _ in range(count):
            name = f"{host}{tier}-{len(self.requests)}"
            request = Request(name, customer, "r", tier, 0, self.now_ms, self.now_ms + deadline_ms)
            self.requests[name] = request
            self.carry_out(host, self.schedulers[host].submit(request, self.now_ms))

    def complete(self, name: str) -> None:
        host, dispatch = self.running.pop(name)
        self.end_attempt(host, dispatch, AttemptResult.COMPLETED)

    def end_attempt(self, host: str, dispatch: Dispatch, result: AttemptResult) -> None:
        end = AttemptEnd(
            dispatch.request, dispatch.attempt, dispatch.upstream, dispatch.version, result
        )
        self.carry_out(host, self.schedulers[host].record_attempt_end(end, self.now_ms))

    def carry_out(self, host: str, actions) -> None:
        for action in actions:
            match action:
                case Dispatch():
                    assert action.request not in self.running
                    self.running[action.request] = host, action
                case Preempt():
                    self.call_later(2, lambda attempt=action.attempt: self.end_preempted(attempt))
                case Refuse():
                    self.refused[action.request] = action.code
                case Send():
                    for delay_ms in self.network(self.rng):
                        self.call_later(
                            delay_ms,
                            lambda to=action.to, message=action.message: self.deliver(
                                host, to, message
                            ),
                        )

    def end_preempted(self, attempt: str) -> None:
        for name, (host, dispatch) in list(self.running.items()):
            if dispatch.attempt == attempt:
                del self.running[name]
                self.end_attempt(host, dispatch, AttemptResult.PREEMPTED)

    def deliver(self, sender: str, to: str, message: Demand | Grant) -> None:
        if to in self.paused:
            self.call_later(1, lambda: self.deliver(sender, to, message))
        else:
            self.carry_out(to, self.schedulers[to].receive(sender, message, self.now_ms))

    def call_later(self, delay_ms: int, call: Callable[[], None]) -> None:
        self.event_count += 1
        heapq.heappush(self.events, (self.now_ms + delay_ms, self.event_count, call))

    def advance(self, span_ms: int) -> None:
        for _ in range(span_ms):
            self.now_ms += 1
            while self.events and self.events[0][0] <= self.now_ms:
                heapq.heappop(self.events)[2]()
            if self.now_ms % 20 == 0:
                for host, scheduler in self.schedulers.items():
                    if host not in self.paused:
                        self.carry_out(host, scheduler.tick(self.now_ms))

    def count_running(self, tier: int | None = None, host: str | None = None) -> int:
        return sum(
            (tier is None or self.requests[name].tier == tier) and (host in (None, at))
            for name, (at, _) in self.running.items()
        )

    def count_running_on_foreign_upstream(self, host: str) -> int:
        """Return the most attempts that a daemon runs on one upstream that it does not own."""
        used = Counter(dispatch.upstream for at, dispatch in self.running.values() if at == host)
        members = list(self.schedulers)
        return max(
            used[info.upstream]
            for info in self.upstream_infos
            if rendezvous_owner(info.upstream, members) != host
        )


@pytest.mark.parametrize("network", [_reliable, _lossy])
def test_top_tier_displaces_lower_tiers_of_other_daemons(network):
    fleet = Fleet("abc", 2, network)
    fleet.submit("a", 60, tier=2)
    fleet.advance(1_000 if network is _reliable else 3_000)
    assert fleet.count_running(tier=2) >= 2 * MAX_BATCH - 2
    fleet.submit("b", 2 * MAX_BATCH, tier=0)
    fleet.advance(500 if network is _reliable else 3_000)
    assert fleet.count_running(tier=0) == 2 * MAX_BATCH
    assert fleet.count_running(tier=2) == 0
    assert fleet.refused == {}


def test_top_tier_burst_beyond_the_queue_limit_is_not_refused_while_lower_tiers_run():
    fleet = Fleet("abc", 10)
    fleet.submit("a", 90, tier=2)
    fleet.submit("c", 90, tier=1)
    fleet.advance(1_000)
    fleet.submit("b", 10 * MAX_BATCH, tier=0)
    fleet.advance(1_000)
    assert fleet.count_running(tier=0) == 10 * MAX_BATCH
    assert [name for name in fleet.refused if fleet.requests[name].tier == 0] == []


def test_burst_displaces_the_lowest_tier_before_the_middle_one():
    fleet = Fleet("abc", 2)
    fleet.submit("a", MAX_BATCH, tier=1)
    fleet.submit("c", MAX_BATCH, tier=2)
    fleet.advance(500)
    fleet.submit("b", MAX_BATCH, tier=0)
    fleet.advance(1_500)
    assert [fleet.count_running(tier) for tier in range(3)] == [MAX_BATCH, MAX_BATCH, 0]


def test_daemons_of_one_tier_share_an_upstream_fairly_as_attempts_end():
    fleet = Fleet("ab", 1)
    fleet.submit("a", 80, tier=1)
    fleet.advance(500)
    fleet.submit("b", 80, tier=1)
    for _ in range(60):
        fleet.advance(50)
        fleet.complete(next(iter(fleet.running)))
    assert fleet.count_running(host="b") >= MAX_BATCH // 2 - 1


def test_big_customer_does_not_starve_a_small_one():
    fleet = Fleet("a", 1)
    fleet.submit("a", 80, tier=1, customer="big")
    fleet.submit("a", 5, tier=1, customer="small")
    for _ in range(12):
        fleet.advance(10)
        fleet.complete(next(iter(fleet.running)))
    started = [name for name in fleet.running if fleet.requests[name].customer == "small"]
    assert len(started) == 5


def test_idle_fleet_starts_a_request_without_waiting_for_a_grant():
    fleet = Fleet("abc", 2)
    fleet.submit("a", 1, tier=2)
    assert fleet.count_running() == 1


def test_one_daemon_can_fill_all_upstreams():
    fleet = Fleet("abc", 2)
    fleet.submit("a", 2 * MAX_BATCH, tier=2)
    fleet.advance(500)
    assert fleet.count_running() == 2 * MAX_BATCH


def test_paused_daemon_returns_to_its_fallback_share():
    fleet = Fleet("abc", 2)
    fleet.submit("c", 40, tier=2)
    fleet.advance(500)
    assert fleet.count_running(host="c") == 2 * MAX_BATCH
    fleet.paused = {"c"}
    fleet.advance(5_000)
    # The network is partitioned too, so no new lease can arrive after the pause.
    fleet.network = lambda rng: []
    fleet.paused = set()
    fleet.advance(40)
    assert fleet.count_running_on_foreign_upstream("c") <= MAX_BATCH // 3


def test_grants_delayed_by_a_pause_do_not_renew_the_lease():
    fleet = Fleet("abc", 2)
    fleet.submit("c", 40, tier=2)
    fleet.advance(500)
    fleet.paused = {"c"}
    fleet.submit("a", 40, tier=2)
    fleet.advance(5_000)
    fleet.network = lambda rng: []
    fleet.paused = set()
    fleet.advance(45)
    assert fleet.count_running_on_foreign_upstream("c") <= MAX_BATCH // 3


def test_partitioned_daemons_stay_within_their_fallback_shares():
    fleet = Fleet("abc", 2)
    fleet.network = lambda rng: []
    fleet.advance(4_000)
    for host in "abc":
        fleet.submit(host, 40, tier=1)
    fleet.advance(500)
    # A partitioned owner grants itself the whole capacity of its upstream.
    for host in "abc":
        assert fleet.count_running_on_foreign_upstream(host) == MAX_BATCH // 3
    assert fleet.count_running() <= 2 * (MAX_BATCH + 2 * (MAX_BATCH // 3))


def test_concurrent_owners_lose_no_request_and_overfill_only_until_memberships_agree():
    fleet = Fleet("abcd", 2)
    fleet.set_members("ab", "ab")
    fleet.set_members("cd", "cd")
    for host in "abcd":
        fleet.submit(host, 15, tier=1)
        fleet.advance(500)
    assert fleet.count_running() <= 2 * 2 * MAX_BATCH
    fleet.set_members("abcd", "abcd")
    for _ in range(200):
        fleet.advance(20)
        if fleet.count_running() > MAX_BATCH:
            fleet.complete(next(iter(fleet.running)))
    fleet.advance(1_000)
    assert fleet.count_running() <= 2 * MAX_BATCH
    assert fleet.refused == {}


def test_attempts_continue_when_the_owner_fails():
    fleet = Fleet("abc", 2)
    fleet.submit("a", 20, tier=1)
    fleet.advance(500)
    running = set(fleet.running)
    fleet.paused = {"b", "c"}
    fleet.advance(1_000)
    fleet.set_members("a", "a")
    fleet.advance(3_000)
    assert set(fleet.running) >= running
    assert fleet.count_running() == 20


def test_leaving_upstream_gets_no_new_work_from_any_daemon():
    fleet = Fleet("abc", 2)
    for scheduler in fleet.schedulers.values():
        scheduler.mark_leaving("u0")
    for host in "abc":
        fleet.submit(host, 10, tier=1)
        fleet.advance(500)
    assert {dispatch.upstream for _, dispatch in fleet.running.values()} == {"u1"}
    assert fleet.count_running() == MAX_BATCH


@pytest.mark.parametrize("seed", range(8))
def test_every_request_ends_in_a_lossy_fleet(seed):
    fleet = Fleet("abc", 2, _lossy, seed)
    completed = 0
    for _ in range(100):
        fleet.submit(fleet.rng.choice("abc"), 2, fleet.rng.randrange(3), deadline_ms=3_000)
        fleet.advance(20)
        for name in list(fleet.running):
            if fleet.rng.random() < 0.2:
                fleet.complete(name)
                completed += 1
    while fleet.running:
        fleet.complete(next(iter(fleet.running)))
        completed += 1
        fleet.advance(5)
    fleet.advance(4_000)
    # A request that is still running at its deadline is refused and its attempt is preempted.
    assert completed + len(fleet.refused) >= len(fleet.requests), f"seed {seed}"
    for scheduler in fleet.schedulers.values():
        status = scheduler.status()
        assert status.running == status.waiting == (0, 0, 0), f"seed {seed}"
