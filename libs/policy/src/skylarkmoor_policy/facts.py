"""The convergent map of shared soft state and its spreading by gossip."""

import heapq
import random
from collections.abc import Iterable, Sequence
from itertools import zip_longest

from skylarkmoor_core.hashing import bucket, hash64
from skylarkmoor_core.ids import HostId
from skylarkmoor_core.messages import Fact, FactKind, Gossip, HostState
from skylarkmoor_policy.actions import Send

__all__ = [
    "DIGEST_MS",
    "GOSSIP_MS",
    "SUSPECT_LIFETIME_MS",
    "FactStore",
    "is_expired",
    "merge_values",
]

GOSSIP_MS = 500
DIGEST_MS = 5_000
SUSPECT_LIFETIME_MS = 600_000

_PEERS = 3
_BUCKETS = 64
# With the number of daemons' logarithm added, a new fact reaches nearly all of them before it
# is sent no more; the digest exchange brings it to the rest.
_EXTRA_ROUNDS = 3
_MAX_ROUND = 32
_MAX_DIFF = 512
_MAX_FACTS = 20_000
_MAX_SUBJECT = 256
_MAX_VALUE = 16
_HOST_STATE_MASK = 3

# Lifetimes after the wall-clock time in the last element of the value. A clearing outlives
# the suspicion that it clears, so that the suspicion cannot come back.
_LIFETIME_MS = {
    FactKind.HOST: 3_600_000,
    FactKind.UPSTREAM_LEAVING: 86_400_000,
    FactKind.VERSION_STOPPED: 604_800_000,
    FactKind.EVIDENCE: 3_600_000,
    FactKind.SUSPECT: SUSPECT_LIFETIME_MS,
    FactKind.SUSPECT_CLEARED: 2 * SUSPECT_LIFETIME_MS,
}

# The kinds take turns in each message, in this order. Strict priority let the 256 suspicions of
# one crashed engine hold back the news of a lost host for 50 s at the size to design for.
_URGENCY = {
    kind: rank
    for rank, kind in enumerate(
        [
            FactKind.VERSION_STOPPED,
            FactKind.HOST,
            FactKind.SUSPECT,
            FactKind.UPSTREAM_LEAVING,
            FactKind.SUSPECT_CLEARED,
            FactKind.DOCUMENT_OFFSET,
            FactKind.EVIDENCE,
        ]
    )
}

# Facts that a kind sends in one turn. Evidence changes all the time, and with an equal turn it
# nearly doubled the time in which suspicions spread. The sum stays below the facts in a
# message, so that each kind with something new is in each message.
_PER_TURN = dict.fromkeys(FactKind, 4) | {FactKind.EVIDENCE: 1}

# The kinds that may be evicted, the first of them first. The number of the others is bounded
# by the hosts, upstreams, moves and services. A suspicion goes before what clears it.
_EXPENDABLE = {FactKind.EVIDENCE: 0, FactKind.SUSPECT: 1, FactKind.SUSPECT_CLEARED: 2}

_Key = tuple[FactKind, str]


def merge_values(one: Sequence[int], other: Sequence[int]) -> tuple[int, ...]:
    """Return the maximum of both values, element by element.

    Examples
    --------
    >>> merge_values((1, 5), (2, 3, 4))
    (2, 5, 4)
    """
    return tuple(max(pair) for pair in zip_longest(one, other, fillvalue=0))


def is_expired(fact: Fact, now_wall_ms: int) -> bool:
    """Return whether `fact` has outlived its kind's lifetime.

    Notes
    -----
    The time is part of the fact and on the wall clock, so that all daemons drop it at about
    the same time and none brings it back. A host that has not left never expires.
    """
    lifetime_ms = _LIFETIME_MS.get(fact.kind)
    if lifetime_ms is None:
        return False
    if fact.kind is FactKind.HOST and _state(fact) != HostState.LEFT.value:
        return False
    return now_wall_ms - fact.value[-1] >= lifetime_ms


def _state(fact: Fact) -> int:
    return fact.value[0] & _HOST_STATE_MASK


class FactStore:
    """A map from kind and subject to a value that only grows.

    Parameters
    ----------
    max_facts : int
        Above this number the oldest expendable facts are evicted: evidence, then suspicions.
    max_round : int
        Largest number of facts in one gossip message.

    Notes
    -----
    Merging is commutative, associative and idempotent, so daemons that have seen the same
    facts in any order, any number of times, have the same map.
    """

    def __init__(self, max_facts: int = _MAX_FACTS, max_round: int = _MAX_ROUND) -> None:
        self._max_facts = max_facts
        self._max_round = max_round
        self._buckets: list[dict[_Key, Fact]] = [{} for _ in range(_BUCKETS)]
        self._hashes = [0] * _BUCKETS
        self._kinds: dict[FactKind, dict[str, Fact]] = {kind: {} for kind in FactKind}
        # For each new fact, the number of rounds in which it has been sent.
        self._recent: dict[_Key, int] = {}
        self._now_wall_ms = 0
        self._expired_ms = 0
        self._turn = 0

    def __len__(self) -> int:
        return sum(len(facts) for facts in self._kinds.values())

    def get(self, kind: FactKind, subject: str) -> Fact | None:
        """Return the fact about `subject`, if there is one."""
        return self._kinds[kind].get(subject)

    def of_kind(self, kind: FactKind) -> tuple[Fact, ...]:
        """Return all facts of one kind."""
        return tuple(self._kinds[kind].values())

    def put(self, fact: Fact) -> bool:
        """Merge one fact of this daemon's own and return whether it changed the map."""
        return bool(self.merge((fact,)))

    def merge(self, facts: Iterable[Fact]) -> list[Fact]:
        """Merge facts and return those that changed the map, with their merged values."""
        changed: dict[_Key, Fact] = {}
        for fact in facts:
            merged = self._merge_one(fact)
            if merged is not None:
                changed[merged.kind, merged.subject] = merged
        for evicted in self._evict():
            changed.pop((evicted.kind, evicted.subject), None)
        return list(changed.values())

    def expire(self, now_wall_ms: int) -> list[Fact]:
        """Drop the facts that have outlived their lifetime and return them."""
        self._now_wall_ms = max(self._now_wall_ms, now_wall_ms)
        self._expired_ms = now_wall_ms
        expired = [
            fact
            for kind in _LIFETIME_MS
            for fact in self._kinds[kind].values()
            if is_expired(fact, self._now_wall_ms)
        ]
        for fact in expired:
            self._remove(fact)
        return expired

    def gossip(self, rng: random.Random, now_ms: int, peers: Sequence[HostId]) -> list[Send]:
        """Return the messages of one round.

        Parameters
        ----------
        rng : random.Random
            Chooses the peers.
        now_ms : int
            Wall clock, because facts expire by it on all daemons alike.
        peers : sequence of str
            Daemons that can be reached, without this one.
        """
        # Looking at every fact in each round would take more time than the rest of the round.
        if now_ms - self._expired_ms >= DIGEST_MS:
            self.expire(now_ms)
        facts = self._pick(rng, len(peers))
        if not facts or not peers:
            return []
        chosen = rng.sample(peers, min(_PEERS, len(peers)))
        return [Send(peer, Gossip(facts)) for peer in chosen]

    def digest(self) -> tuple[int, ...]:
        """Return a hash of each bucket's facts."""
        return tuple(self._hashes)

    def diff(self, digest: Sequence[int]) -> list[Fact]:
        """Return facts of the buckets that differ from a peer's digest.

        Returns
        -------
        list of Fact
            Whole buckets, up to a bound; repeated exchanges start at different buckets, so
            that each gets its turn.

        Raises
        ------
        ValueError
            If the digest has another number of buckets.
        """
        if len(digest) != _BUCKETS:
            raise ValueError(f"digest must have {_BUCKETS} hashes, got {len(digest)}")
        self._turn += 1
        facts: list[Fact] = []
        for i in range(_BUCKETS):
            at = (self._turn + i) % _BUCKETS
            if digest[at] != self._hashes[at] and len(facts) < _MAX_DIFF:
                facts.extend(self._buckets[at].values())
        return facts

    def _pick(self, rng: random.Random, peers: int) -> tuple[Fact, ...]:
        rounds = _EXTRA_ROUNDS + peers.bit_length()
        keys = self._take_turns(rng)
        facts = tuple(self._kinds[kind][subject] for kind, subject in keys)
        for key in keys if peers else ():
            self._recent[key] += 1
            if self._recent[key] >= rounds:
                del self._recent[key]
        return facts

    def _take_turns(self, rng: random.Random) -> list[_Key]:
        """Return the facts to send; the kinds take turns, and the least sent facts go first."""
        waiting: dict[FactKind, list[_Key]] = {}
        for key in self._recent:
            waiting.setdefault(key[0], []).append(key)
        turns = [
            (place // _PER_TURN[kind], _URGENCY[kind], place, key)
            for kind, keys in waiting.items()
            for place, key in enumerate(self._least_sent(keys, rng))
        ]
        first = heapq.nsmallest(self._max_round, turns, key=lambda turn: turn[:3])
        return [key for *_, key in first]

    def _least_sent(self, keys: Iterable[_Key], rng: random.Random) -> list[_Key]:
        return heapq.nsmallest(
            self._max_round, keys, key=lambda key: (self._recent[key], rng.random())
        )

    def _merge_one(self, fact: Fact) -> Fact | None:
        if not fact.value or len(fact.value) > _MAX_VALUE or len(fact.subject) > _MAX_SUBJECT:
            return None
        if is_expired(fact, self._now_wall_ms):
            return None
        old = self._kinds[fact.kind].get(fact.subject)
        if old is not None:
            value = merge_values(old.value, fact.value)
            if value == old.value:
                return None
            self._remove(old)
            fact = Fact(fact.kind, fact.subject, value)
        self._add(fact)
        return fact

    def _evict(self) -> list[Fact]:
        excess = len(self) - self._max_facts
        if excess <= 0:
            return []
        expendable = (fact for kind in _EXPENDABLE for fact in self._kinds[kind].values())
        evicted = heapq.nsmallest(
            excess,
            expendable,
            key=lambda fact: (_EXPENDABLE[fact.kind], fact.value[-1], fact.subject),
        )
        for fact in evicted:
            self._remove(fact)
        return evicted

    def _add(self, fact: Fact) -> None:
        key = (fact.kind, fact.subject)
        at = _bucket(fact)
        self._buckets[at][key] = fact
        self._hashes[at] ^= _hash(fact)
        self._kinds[fact.kind][fact.subject] = fact
        self._recent[key] = 0

    def _remove(self, fact: Fact) -> None:
        key = (fact.kind, fact.subject)
        at = _bucket(fact)
        del self._buckets[at][key]
        self._hashes[at] ^= _hash(fact)
        del self._kinds[fact.kind][fact.subject]
        self._recent.pop(key, None)


def _bucket(fact: Fact) -> int:
    return bucket(_BUCKETS, str(fact.kind.value), fact.subject)


def _hash(fact: Fact) -> int:
    return hash64(str(fact.kind.value), fact.subject, *map(str, fact.value))
