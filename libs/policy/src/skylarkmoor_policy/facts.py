"""A convergent map (CRDT) of shared soft state, replicated by gossip and digest exchange."""

import heapq
import random
from collections.abc import Iterable, Sequence
from itertools import zip_longest

from skylarkmoor_core.hashing import bucket, hash64
from skylarkmoor_core.ids import HostId
from skylarkmoor_core.messages import Fact, FactKind, Gossip, HostState
from skylarkmoor_policy.actions import Send

__all__ = [
    "DIGEST_INTERVAL_MS",
    "GOSSIP_INTERVAL_MS",
    "SUSPECT_LIFETIME_MS",
    "FactStore",
    "is_expired",
    "merge_values",
]

GOSSIP_INTERVAL_MS = 500
DIGEST_INTERVAL_MS = 5_000
SUSPECT_LIFETIME_MS = 600_000

_GOSSIP_FANOUT = 3
_BUCKETS = 64
# Rounds in which a fact is sent, in addition to the logarithm of the number of daemons. Nearly all
# daemons have received the fact by then; the digest exchange brings it to the rest.
_EXTRA_ROUNDS = 3
_MAX_FACTS_PER_MESSAGE = 32
_MAX_FACTS_PER_DIFF = 512
_MAX_FACTS = 20_000
_MAX_SUBJECT_LENGTH = 256
_MAX_VALUE_LENGTH = 16
_HOST_STATE_MASK = 3

# Lifetime of each kind after the wall-clock time in the last element of the value. A clearing
# outlives the suspicion that it clears, so that the suspicion cannot come back.
_LIFETIME_MS = {
    FactKind.HOST: 3_600_000,
    FactKind.UPSTREAM_LEAVING: 86_400_000,
    FactKind.VERSION_STOPPED: 604_800_000,
    FactKind.EVIDENCE: 3_600_000,
    FactKind.SUSPECT: SUSPECT_LIFETIME_MS,
    FactKind.SUSPECT_CLEARED: 2 * SUSPECT_LIFETIME_MS,
}

# Order in which the kinds take turns within a message. With strict priority the 256 suspicions of
# one crashed engine delayed the fact about a lost host by 50 s at the designed fleet size.
_SEND_PRIORITY = {
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

# Number of facts of each kind per turn. Evidence changes constantly, and with an equal share it
# nearly doubled the time in which suspicions spread. The sum stays below the number of facts in a
# message, so that each message contains every kind that has new facts.
_FACTS_PER_TURN = dict.fromkeys(FactKind, 4) | {FactKind.EVIDENCE: 1}

# Kinds that may be evicted, lowest rank first. The number of facts of the other kinds is bounded by
# the numbers of hosts, upstreams, moves and services. A suspicion is evicted before its clearing.
_EVICTION_ORDER = {FactKind.EVIDENCE: 0, FactKind.SUSPECT: 1, FactKind.SUSPECT_CLEARED: 2}

_Key = tuple[FactKind, str]


def merge_values(one: Sequence[int], other: Sequence[int]) -> tuple[int, ...]:
    """Return the element-wise maximum of both values; missing elements count as 0.

    Examples
    --------
    >>> merge_values((1, 5), (2, 3, 4))
    (2, 5, 4)
    """
    return tuple(max(pair) for pair in zip_longest(one, other, fillvalue=0))


def is_expired(fact: Fact, now_wall_ms: int) -> bool:
    """Return whether `fact` has outlived the lifetime of its kind.

    Notes
    -----
    The fact contains its wall-clock time, so all daemons drop it at about the same time and none
    of them reintroduces it. A fact about a host that has not left never expires.
    """
    lifetime_ms = _LIFETIME_MS.get(fact.kind)
    if lifetime_ms is None:
        return False
    if fact.kind is FactKind.HOST and _host_state(fact) != HostState.LEFT.value:
        return False
    return now_wall_ms - fact.value[-1] >= lifetime_ms


def _host_state(fact: Fact) -> int:
    return fact.value[0] & _HOST_STATE_MASK


class FactStore:
    """A map from fact kind and subject to a value that only grows.

    Parameters
    ----------
    max_facts : int
        Above this number the oldest evictable facts are dropped: evidence first, then suspicions,
        then clearings.
    max_facts_per_message : int
        Largest number of facts in one gossip message.

    Notes
    -----
    Merging is commutative, associative and idempotent, so daemons that have seen the same
    facts in any order, any number of times, have the same map.
    """

    def __init__(
        self, max_facts: int = _MAX_FACTS, max_facts_per_message: int = _MAX_FACTS_PER_MESSAGE
    ) -> None:
        self._max_facts = max_facts
        self._max_facts_per_message = max_facts_per_message
        self._buckets: list[dict[_Key, Fact]] = [{} for _ in range(_BUCKETS)]
        self._bucket_hashes = [0] * _BUCKETS
        self._facts_by_kind: dict[FactKind, dict[str, Fact]] = {kind: {} for kind in FactKind}
        # For each fact that is still being spread, the number of rounds in which it was sent.
        self._send_counts: dict[_Key, int] = {}
        self._latest_wall_ms = 0
        self._last_expiry_ms = 0
        self._diff_start = 0

    def __len__(self) -> int:
        return sum(len(facts) for facts in self._facts_by_kind.values())

    def get(self, kind: FactKind, subject: str) -> Fact | None:
        """Return the fact of this kind about `subject`, or None."""
        return self._facts_by_kind[kind].get(subject)

    def of_kind(self, kind: FactKind) -> tuple[Fact, ...]:
        """Return all facts of one kind."""
        return tuple(self._facts_by_kind[kind].values())

    def put(self, fact: Fact) -> bool:
        """Merge one locally created fact and return whether it changed the map."""
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
        self._latest_wall_ms = max(self._latest_wall_ms, now_wall_ms)
        self._last_expiry_ms = now_wall_ms
        expired = [
            fact
            for kind in _LIFETIME_MS
            for fact in self._facts_by_kind[kind].values()
            if is_expired(fact, self._latest_wall_ms)
        ]
        for fact in expired:
            self._remove(fact)
        return expired

    def gossip_round(
        self, rng: random.Random, now_wall_ms: int, peers: Sequence[HostId]
    ) -> list[Send]:
        """Return the messages of one gossip round.

        Parameters
        ----------
        rng : random.Random
            Chooses the peers and breaks ties between facts.
        now_wall_ms : int
            Wall clock, by which facts expire on all daemons.
        peers : sequence of str
            Reachable daemons, without this one.
        """
        # Checking every fact for expiry would take more time than the rest of the round.
        if now_wall_ms - self._last_expiry_ms >= DIGEST_INTERVAL_MS:
            self.expire(now_wall_ms)
        facts = self._select_facts(rng, len(peers))
        if not facts or not peers:
            return []
        chosen = rng.sample(peers, min(_GOSSIP_FANOUT, len(peers)))
        return [Send(peer, Gossip(facts)) for peer in chosen]

    def digest(self) -> tuple[int, ...]:
        """Return one hash per bucket over the bucket's facts."""
        return tuple(self._bucket_hashes)

    def differing_facts(self, digest: Sequence[int]) -> list[Fact]:
        """Return the facts of the buckets that differ from a peer's digest.

        Returns
        -------
        list of Fact
            Whole buckets, until `_MAX_FACTS_PER_DIFF` is reached. Each call starts at the next
            bucket, so that repeated exchanges cover all of them.

        Raises
        ------
        ValueError
            If the digest has a different number of buckets.
        """
        if len(digest) != _BUCKETS:
            raise ValueError(f"digest must have {_BUCKETS} hashes, got {len(digest)}")
        self._diff_start += 1
        facts: list[Fact] = []
        for i in range(_BUCKETS):
            index = (self._diff_start + i) % _BUCKETS
            if digest[index] != self._bucket_hashes[index] and len(facts) < _MAX_FACTS_PER_DIFF:
                facts.extend(self._buckets[index].values())
        return facts

    def _select_facts(self, rng: random.Random, peers: int) -> tuple[Fact, ...]:
        max_rounds = _EXTRA_ROUNDS + peers.bit_length()
        keys = self._select_keys(rng)
        facts = tuple(self._facts_by_kind[kind][subject] for kind, subject in keys)
        for key in keys if peers else ():
            self._send_counts[key] += 1
            if self._send_counts[key] >= max_rounds:
                del self._send_counts[key]
        return facts

    def _select_keys(self, rng: random.Random) -> list[_Key]:
        """Return the keys to send: the kinds take turns, and the least sent facts come first."""
        waiting: dict[FactKind, list[_Key]] = {}
        for key in self._send_counts:
            waiting.setdefault(key[0], []).append(key)
        ranked = [
            (position // _FACTS_PER_TURN[kind], _SEND_PRIORITY[kind], position, key)
            for kind, keys in waiting.items()
            for position, key in enumerate(self._least_sent(keys, rng))
        ]
        first = heapq.nsmallest(self._max_facts_per_message, ranked, key=lambda entry: entry[:3])
        return [key for *_, key in first]

    def _least_sent(self, keys: Iterable[_Key], rng: random.Random) -> list[_Key]:
        return heapq.nsmallest(
            self._max_facts_per_message,
            keys,
            key=lambda key: (self._send_counts[key], rng.random()),
        )

    def _merge_one(self, fact: Fact) -> Fact | None:
        if (
            not fact.value
            or len(fact.value) > _MAX_VALUE_LENGTH
            or len(fact.subject) > _MAX_SUBJECT_LENGTH
        ):
            return None
        if is_expired(fact, self._latest_wall_ms):
            return None
        old = self._facts_by_kind[fact.kind].get(fact.subject)
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
        evictable = (
            fact for kind in _EVICTION_ORDER for fact in self._facts_by_kind[kind].values()
        )
        evicted = heapq.nsmallest(
            excess,
            evictable,
            key=lambda fact: (_EVICTION_ORDER[fact.kind], fact.value[-1], fact.subject),
        )
        for fact in evicted:
            self._remove(fact)
        return evicted

    def _add(self, fact: Fact) -> None:
        key = (fact.kind, fact.subject)
        index = _bucket_index(fact)
        self._buckets[index][key] = fact
        self._bucket_hashes[index] ^= _fact_hash(fact)
        self._facts_by_kind[fact.kind][fact.subject] = fact
        self._send_counts[key] = 0

    def _remove(self, fact: Fact) -> None:
        key = (fact.kind, fact.subject)
        index = _bucket_index(fact)
        del self._buckets[index][key]
        self._bucket_hashes[index] ^= _fact_hash(fact)
        del self._facts_by_kind[fact.kind][fact.subject]
        self._send_counts.pop(key, None)


def _bucket_index(fact: Fact) -> int:
    return bucket(_BUCKETS, str(fact.kind.value), fact.subject)


def _fact_hash(fact: Fact) -> int:
    return hash64(str(fact.kind.value), fact.subject, *map(str, fact.value))
