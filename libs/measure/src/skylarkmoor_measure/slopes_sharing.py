"""Scaling measurements of membership, heartbeats, facts, gossip and digests."""

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from functools import cache, partial

from skylarkmoor_core.hashing import rendezvous_owner
from skylarkmoor_core.ids import FailureDomain, HostId
from skylarkmoor_core.messages import (
    Digest,
    Envelope,
    Fact,
    FactKind,
    Gossip,
    HostState,
    encode_envelope,
)
from skylarkmoor_measure.fleet import INCARNATION, host_name
from skylarkmoor_measure.slope_cases import Case, Unit
from skylarkmoor_measure.timing import cpu_us, kept_bytes
from skylarkmoor_policy.actions import Send
from skylarkmoor_policy.facts import DIGEST_INTERVAL_MS, GOSSIP_INTERVAL_MS, FactStore
from skylarkmoor_policy.membership import HostEntry, Membership, host_fact

__all__ = ["SHARING_CASES", "EvidenceRun", "evidence_fact", "run_evidence", "spread_fact"]

_WALL_MS = int(INCARNATION) + 3_600_000
_TICK_MS = 250
_DOMAIN_COUNT = 11


def _failure_domain(number: int) -> FailureDomain:
    return FailureDomain(f"domain-{number % _DOMAIN_COUNT:02d}")


def _host_entries(hosts: int) -> list[HostEntry]:
    return [HostEntry(host_name(i), _failure_domain(i)) for i in range(hosts)]


def _alive_facts(hosts: int) -> list[Fact]:
    epoch = INCARNATION << 10
    return [host_fact(host_name(i), epoch, HostState.ALIVE, _WALL_MS) for i in range(hosts)]


def _membership(hosts: int) -> Membership:
    """Return the membership view of the first host, with all hosts alive."""
    membership = Membership(host_name(0), INCARNATION, _failure_domain(0))
    membership.apply_host_list(_host_entries(hosts))
    membership.apply_facts(_alive_facts(hosts)[1:], _WALL_MS)
    return membership


def _encoded_size(host: HostId, send: Send) -> int:
    return len(encode_envelope(Envelope(host, INCARNATION, send.message)))


def _heartbeat_bytes(hosts: int, seed: int) -> float:
    membership = _membership(hosts)
    seconds = 5
    sent = [
        decision
        for now_ms in range(0, seconds * 1_000, _TICK_MS)
        for decision in membership.tick(now_ms, _WALL_MS + now_ms)
        if isinstance(decision, Send)
    ]
    return sum(_encoded_size(host_name(0), send) for send in sent) / seconds


def _membership_tick_us(hosts: int, seed: int) -> float:
    """Time of a tick in steady state: assignments are computed and no host has timed out."""
    ticks = 10

    def prepare() -> Callable[[], object]:
        membership = _membership(hosts)
        for i in range(hosts):
            membership.tick(i, _WALL_MS)
        return lambda: [membership.tick(hosts + i * 25, _WALL_MS) for i in range(ticks)]

    return cpu_us(prepare) / ticks


def _membership_change_us(hosts: int, seed: int) -> float:
    """Time to process the departure of a host and recompute all assignments."""

    def prepare() -> Callable[[], object]:
        membership = _membership(hosts)
        for i in range(hosts):
            membership.tick(i, _WALL_MS)
        epoch = INCARNATION << 10
        host_left = host_fact(host_name(hosts - 1), epoch, HostState.LEFT, _WALL_MS)

        def work() -> None:
            membership.apply_facts((host_left,), _WALL_MS)
            membership.eligible_owners()
            for i in range(hosts // 16 + 1):
                membership.tick(hosts + i, _WALL_MS)

        return work

    return cpu_us(prepare)


def _unchanged_members_us(hosts: int, seed: int) -> float:
    """Time to check that the live hosts are unchanged, as the daemon does in each tick."""
    membership = _membership(hosts)
    calls = 100

    def work() -> None:
        before = membership.eligible_owners()
        for _ in range(calls):
            if membership.eligible_owners() != before:
                raise RuntimeError("expected the live hosts to stay unchanged")

    return cpu_us(lambda: work) / calls


def _reachable_peers_us(hosts: int, seed: int) -> float:
    membership = _membership(hosts)
    return cpu_us(lambda: membership.reachable)


def _partition_owner_us(hosts: int, seed: int) -> float:
    live_hosts = _membership(hosts).eligible_owners()
    calls = 16
    keys = [f"claims-{i}" for i in range(calls)]
    return cpu_us(lambda: lambda: [rendezvous_owner(key, live_hosts) for key in keys]) / calls


def _membership_bytes(hosts: int, seed: int) -> float:
    return kept_bytes(lambda: _membership(hosts))


def evidence_fact(number: int, count: int) -> Fact:
    """Return an evidence fact of one daemon and route, in the format of `Evidence`."""
    source = f"{host_name(number // 100)}|{INCARNATION}"
    subject = f"assistant@7|2|{source}|route-{number % 100:04d}"
    old = (50 * count, count, 2 * count)
    return Fact(FactKind.EVIDENCE, subject, (*old, count, 0, 0, _WALL_MS + count))


def _make_store(facts: int) -> FactStore:
    store = FactStore()
    store.merge(evidence_fact(i, 1_000) for i in range(facts))
    return store


def _fact_bytes(facts: int, seed: int) -> float:
    return kept_bytes(lambda: _make_store(facts))


def _merge_us(facts: int, seed: int) -> float:
    def prepare() -> Callable[[], object]:
        store = _make_store(facts)
        newer_facts = [evidence_fact(i, 1_001) for i in range(facts)]
        return lambda: store.merge(newer_facts)

    return cpu_us(prepare)


def _make_settled_store(facts: int, seed: int) -> FactStore:
    """Return a store that has no more facts left to gossip."""
    store = FactStore(max_facts_per_message=facts + 1)
    store.merge(evidence_fact(i, 1_000) for i in range(facts))
    rng = random.Random(seed)
    while store.gossip_round(rng, _WALL_MS, [host_name(i) for i in range(1, 5)]):
        pass
    return store


def _settled_round_us(facts: int, seed: int) -> float:
    def prepare() -> Callable[[], object]:
        store = _make_settled_store(facts, seed)
        return lambda: store.gossip_round(random.Random(seed), _WALL_MS, [host_name(1)])

    return cpu_us(prepare)


def _unsent_round_us(facts: int, seed: int) -> float:
    def prepare() -> Callable[[], object]:
        store = _make_store(facts)
        peers = [host_name(i) for i in range(1, 330)]
        return lambda: store.gossip_round(random.Random(seed), _WALL_MS, peers)

    return cpu_us(prepare)


def _round_bytes(facts: int, seed: int) -> float:
    """Bytes that one round with `facts` new facts sends to all its peers."""
    peers = [host_name(i) for i in range(1, 330)]
    sends = _make_store(facts).gossip_round(random.Random(seed), _WALL_MS, peers)
    return sum(_encoded_size(host_name(0), send) for send in sends)


def _digest_bytes(facts: int, seed: int) -> float:
    message = Digest(_make_store(facts).digest())
    return len(encode_envelope(Envelope(host_name(0), INCARNATION, message)))


def _digest_answer_bytes(facts: int, seed: int) -> float:
    """Bytes of the answer to the digest of a store that lacks one fact."""
    store, lagging_store = _make_store(facts), _make_store(facts)
    store.put(evidence_fact(facts, 1))
    message = Gossip(tuple(store.differing_facts(lagging_store.digest())))
    return len(encode_envelope(Envelope(host_name(0), INCARNATION, message)))


@cache
def spread_fact(hosts: int, seed: int) -> tuple[int, int, int]:
    """Simulate the spread of one fact by gossip, without digests.

    Returns
    -------
    tuple of int
        Number of messages, their bytes without framing, and the rounds until every host had
        the fact, or -1 if some host never received it.
    """
    rng = random.Random(seed)
    names = [host_name(i) for i in range(hosts)]
    stores = {name: FactStore() for name in names}
    fact = host_fact(host_name(hosts), INCARNATION << 10, HostState.LEFT, _WALL_MS)
    stores[names[0]].put(fact)
    messages = total = rounds = 0
    rounds_to_all = -1
    while True:
        sends = [
            (name, send)
            for name, store in stores.items()
            for send in store.gossip_round(rng, _WALL_MS, [peer for peer in names if peer != name])
        ]
        if not sends:
            return messages, total, rounds_to_all
        rounds += 1
        for name, send in sends:
            messages += 1
            total += _encoded_size(name, send)
            assert isinstance(send.message, Gossip)
            stores[send.to].merge(send.message.facts)
        informed_hosts = sum(
            store.get(fact.kind, fact.subject) is not None for store in stores.values()
        )
        if informed_hosts == hosts and rounds_to_all < 0:
            rounds_to_all = rounds


def _spread_messages(hosts: int, seed: int) -> float:
    return spread_fact(hosts, seed)[0] / hosts


def _spread_bytes(hosts: int, seed: int) -> float:
    return spread_fact(hosts, seed)[1] / hosts


def _spread_ms(hosts: int, seed: int) -> float:
    return spread_fact(hosts, seed)[2] * GOSSIP_INTERVAL_MS


@dataclass(frozen=True, slots=True)
class EvidenceRun:
    """Traffic and staleness of evidence in a simulated fleet.

    Attributes
    ----------
    gossip_bytes, digest_bytes : int
        Bytes without framing that all daemons sent in the measured interval, in gossip rounds
        and in digests with their answers.
    seconds : float
        Length of the measured interval.
    mean_age_ms : float
        Mean age of the evidence held by all daemons at the end.
    """

    hosts: int
    gossip_bytes: int
    digest_bytes: int
    seconds: float
    mean_age_ms: float


@cache
def run_evidence(hosts: int, counters: int, seed: int) -> EvidenceRun:
    """Simulate the spread of evidence when all counters of all daemons grow every round.

    Parameters
    ----------
    counters : int
        Routes with evidence at each daemon; one fact holds the counters of both versions.
    """
    rng = random.Random(seed)
    names = [host_name(i) for i in range(hosts)]
    peers = {name: [peer for peer in names if peer != name] for name in names}
    stores = {name: FactStore() for name in names}
    sent: Counter[str] = Counter()
    for number in range(_WARM_UP_ROUNDS + _MEASURED_ROUNDS):
        if number == _WARM_UP_ROUNDS:
            sent.clear()
        for i, store in enumerate(stores.values()):
            store.merge(evidence_fact(100 * i + counter, number) for counter in range(counters))
        sends = [
            (name, send)
            for name, store in stores.items()
            for send in store.gossip_round(rng, _WALL_MS, peers[name])
        ]
        for name, send in sends:
            sent["gossip"] += _encoded_size(name, send)
            _merge_gossip(stores[send.to], send)
        for i, name in enumerate(names):
            if (number + i) % _ROUNDS_PER_DIGEST == 0:
                sent["digest"] += _exchange_digest(stores, name, rng.choice(peers[name]))
    return EvidenceRun(
        hosts=hosts,
        gossip_bytes=sent["gossip"],
        digest_bytes=sent["digest"],
        seconds=_MEASURED_ROUNDS * GOSSIP_INTERVAL_MS / 1_000,
        mean_age_ms=_mean_age_ms(stores, counters, _WARM_UP_ROUNDS + _MEASURED_ROUNDS - 1),
    )


def _merge_gossip(store: FactStore, send: Send) -> None:
    assert isinstance(send.message, Gossip)
    store.merge(send.message.facts)


def _exchange_digest(stores: dict[HostId, FactStore], name: HostId, peer: HostId) -> int:
    """Send a digest, merge the answer and return the bytes of both."""
    digest = Send(peer, Digest(stores[name].digest()))
    answer = Send(name, Gossip(tuple(stores[peer].differing_facts(stores[name].digest()))))
    _merge_gossip(stores[name], answer)
    return _encoded_size(name, digest) + _encoded_size(peer, answer)


def _mean_age_ms(stores: dict[HostId, FactStore], counters: int, newest_round: int) -> float:
    """Return the mean age of the evidence; facts never received count as of round 0."""
    rounds = total = 0
    subjects = [
        evidence_fact(100 * i + counter, 0).subject
        for i in range(len(stores))
        for counter in range(counters)
    ]
    for store in stores.values():
        for subject in subjects:
            fact = store.get(FactKind.EVIDENCE, subject)
            rounds += newest_round if fact is None else newest_round - fact.value[3]
            total += 1
    return GOSSIP_INTERVAL_MS * rounds / total


def _evidence_bytes(routes: int, seed: int) -> float:
    run = run_evidence(_EVIDENCE_HOSTS, routes, seed)
    return (run.gossip_bytes + run.digest_bytes) / run.seconds / run.hosts


def _evidence_host_bytes(hosts: int, seed: int) -> float:
    run = run_evidence(hosts, _EVIDENCE_COUNTERS, seed)
    return (run.gossip_bytes + run.digest_bytes) / run.seconds / run.hosts


def _evidence_age_ms(hosts: int, seed: int) -> float:
    return run_evidence(hosts, _EVIDENCE_COUNTERS, seed).mean_age_ms


_HOST_COUNTS = (30, 110, 330)
_EVIDENCE_HOSTS = 30
_EVIDENCE_COUNTERS = 4
_WARM_UP_ROUNDS = 20
_MEASURED_ROUNDS = 20
_ROUNDS_PER_DIGEST = DIGEST_INTERVAL_MS // GOSSIP_INTERVAL_MS
_FACT_COUNTS = (500, 2_000, 5_000)

_peer_case = partial(Case, "peer")

SHARING_CASES = (
    _peer_case("heartbeats sent/s", "daemons", Unit.WIRE, _HOST_COUNTS, _heartbeat_bytes),
    _peer_case("membership tick", "daemons", Unit.CPU, _HOST_COUNTS, _membership_tick_us),
    _peer_case("membership change", "daemons", Unit.CPU, _HOST_COUNTS, _membership_change_us),
    _peer_case(
        "check for changed members", "daemons", Unit.CPU, _HOST_COUNTS, _unchanged_members_us
    ),
    _peer_case("reachable peers in order", "daemons", Unit.CPU, _HOST_COUNTS, _reachable_peers_us),
    _peer_case(
        "rendezvous owner of one key", "daemons", Unit.CPU, _HOST_COUNTS, _partition_owner_us
    ),
    _peer_case("membership", "daemons", Unit.MEMORY, _HOST_COUNTS, _membership_bytes),
    _peer_case("facts", "facts", Unit.MEMORY, _FACT_COUNTS, _fact_bytes),
    _peer_case("merge of newer facts", "facts", Unit.CPU, _FACT_COUNTS, _merge_us),
    _peer_case("gossip round, nothing new", "facts", Unit.CPU, _FACT_COUNTS, _settled_round_us),
    _peer_case("gossip round, all new", "facts", Unit.CPU, _FACT_COUNTS, _unsent_round_us),
    _peer_case("gossip round to 3 peers", "new facts", Unit.WIRE, (4, 16, 32), _round_bytes),
    _peer_case("digest", "facts", Unit.WIRE, _FACT_COUNTS, _digest_bytes),
    _peer_case(
        "answer to a digest that lacks one fact",
        "facts",
        Unit.WIRE,
        _FACT_COUNTS,
        _digest_answer_bytes,
    ),
    _peer_case(
        "messages sent by a daemon for one fact",
        "daemons",
        Unit.COUNT,
        _HOST_COUNTS,
        _spread_messages,
    ),
    _peer_case(
        "messages sent by a daemon for one fact", "daemons", Unit.WIRE, _HOST_COUNTS, _spread_bytes
    ),
    _peer_case(
        "evidence sent/s by a daemon (30 daemons, every counter grows)",
        "routes",
        Unit.WIRE,
        (1, 4, 16),
        _evidence_bytes,
    ),
    _peer_case(
        "evidence sent/s by a daemon (4 routes, every counter grows)",
        "daemons",
        Unit.WIRE,
        (10, 30, 110),
        _evidence_host_bytes,
    ),
    _peer_case(
        "mean age of the evidence (4 routes)",
        "daemons",
        Unit.TIME,
        (10, 30, 110),
        _evidence_age_ms,
    ),
    _peer_case(
        "time until every daemon has a fact", "daemons", Unit.TIME, _HOST_COUNTS, _spread_ms
    ),
)
