"""Scaling measurements of rollout decisions and of the suspect table."""

import random
from collections.abc import Callable, Iterable
from functools import partial

from skylarkmoor_core.document import VersionMove
from skylarkmoor_core.ids import Fingerprint, MoveId, ServiceName, VersionId
from skylarkmoor_core.messages import Fact, Gossip, HostState
from skylarkmoor_measure.fleet import INCARNATION, START_MS, host_name, upstream_id
from skylarkmoor_measure.slope_cases import Case, Unit
from skylarkmoor_measure.slopes_sharing import evidence_fact
from skylarkmoor_measure.timing import cpu_us, kept_bytes
from skylarkmoor_policy.facts import GOSSIP_INTERVAL_MS, FactStore
from skylarkmoor_policy.membership import host_fact
from skylarkmoor_policy.quarantine import SuspectTable
from skylarkmoor_policy.rollout import (
    EvidenceHistory,
    KeepWaiting,
    MoveProgress,
    decide_next_action,
)

__all__ = ["RECOVERY_CASES"]

_WALL_MS = int(INCARNATION) + 3_600_000
_MOVE = MoveId("assistant@7")
_FLEET_SIZE = 330
_SNAPSHOT_INTERVAL_MS = 500
# Covers more than the longest window, so the history already discards old snapshots.
_SNAPSHOTS = 70


def _evidence_facts(routes: int, hosts: int, count: int) -> Iterable[Fact]:
    for host in range(hosts):
        for route in range(routes):
            yield evidence_fact(100 * host + route, count)


def _make_history(routes: int, hosts: int) -> EvidenceHistory:
    """Return a history in which the counters of all daemons have increased over 35 s."""
    history = EvidenceHistory(_MOVE)
    for i in range(_SNAPSHOTS):
        if i % 10 == 0:
            history.apply_facts(_evidence_facts(routes, hosts, 1 + i))
        history.snapshot(START_MS + _SNAPSHOT_INTERVAL_MS * i)
    return history


def _make_progress() -> MoveProgress:
    return MoveProgress(
        move=_MOVE,
        service=ServiceName("assistant"),
        old_version=VersionId("v1"),
        move_plan=VersionMove(version=VersionId("v2"), by_ms=_WALL_MS + 3_600_000, step_ms=600_000),
        step=2,
        stepped_wall_ms=_WALL_MS,
    )


def _decide_us(routes: int, seed: int) -> float:
    """Time of snapshots and one decision, on fleet-wide and on the daemon's own evidence."""
    now_ms = START_MS + _SNAPSHOT_INTERVAL_MS * _SNAPSHOTS

    def prepare() -> Callable[[], object]:
        histories = (_make_history(routes, 10), _make_history(routes, 1))

        def work() -> None:
            for history in histories:
                history.snapshot(now_ms)
            decision = decide_next_action(
                _make_progress(), histories, now_ms, _WALL_MS + 1_000, ready=True
            )
            if not isinstance(decision, KeepWaiting):
                raise RuntimeError(f"expected the move to keep waiting, got {decision}")

        return work

    return cpu_us(prepare)


def _apply_evidence_us(hosts: int, seed: int) -> float:
    def prepare() -> Callable[[], object]:
        history = _make_history(4, hosts)
        newer_facts = list(_evidence_facts(4, hosts, 1_000))
        return lambda: history.apply_facts(newer_facts)

    return cpu_us(prepare, repeats=3) / 4


def _history_bytes(hosts: int, seed: int) -> float:
    return kept_bytes(lambda: _make_history(4, hosts))


def _suspect_bytes(suspicions: int, seed: int) -> float:
    return kept_bytes(lambda: _make_suspect_table(suspicions))


def _make_suspect_table(suspicions: int) -> SuspectTable:
    """Return a table with 100 suspect requests per crash."""
    table = SuspectTable()
    for i in range(suspicions // 100):
        requests = [Fingerprint(2**63 + 100 * i + j) for j in range(100)]
        table.record_crash(upstream_id(i), INCARNATION, requests, _WALL_MS)
    return table


def _expire_suspects_us(suspicions: int, seed: int) -> float:
    table = _make_suspect_table(suspicions)
    return cpu_us(lambda: lambda: table.expire(_WALL_MS + 1))


def _host_fact_wait_ms(suspicions: int, seed: int) -> float:
    """Time until a host's departure is gossiped while new suspicions compete for space."""
    store = FactStore()
    table = SuspectTable()
    store.merge(
        table.record_crash(upstream_id(0), INCARNATION, map(Fingerprint, range(suspicions)), 1)
    )
    host_left = host_fact(host_name(1), INCARNATION << 10, HostState.LEFT, 1)
    store.put(host_left)
    peers = [host_name(i) for i in range(2, _FLEET_SIZE)]
    rng = random.Random(seed)
    rounds = 0
    while True:
        rounds += 1
        sends = store.gossip_round(rng, 2, peers)
        if any(isinstance(s.message, Gossip) and host_left in s.message.facts for s in sends):
            return rounds * GOSSIP_INTERVAL_MS


_peer_case = partial(Case, "peer")

RECOVERY_CASES = (
    _peer_case("snapshot and judgement of a move", "routes", Unit.CPU, (2, 8, 32), _decide_us),
    _peer_case(
        "evidence of a round taken by a history (each of 4 routes)",
        "daemons",
        Unit.CPU,
        (30, 110, _FLEET_SIZE),
        _apply_evidence_us,
    ),
    _peer_case(
        "history of a move (4 routes)",
        "daemons",
        Unit.MEMORY,
        (30, 110, _FLEET_SIZE),
        _history_bytes,
    ),
    _peer_case("suspects", "suspicions", Unit.MEMORY, (500, 2_000, 8_000), _suspect_bytes),
    _peer_case(
        "time until the news of a lost host is sent",
        "new suspicions",
        Unit.TIME,
        (32, 268, 1_000),
        _host_fact_wait_ms,
    ),
    _peer_case(
        "expiry of suspects", "suspicions", Unit.CPU, (500, 2_000, 8_000), _expire_suspects_us
    ),
)
