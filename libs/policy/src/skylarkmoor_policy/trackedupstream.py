"""State of one upstream: its entry, its load, and measurements of its speed and faults."""

from collections.abc import Collection
from dataclasses import dataclass, field
from math import ceil

from skylarkmoor_core.hashing import hash64
from skylarkmoor_core.ids import FailureDomain, HostId, ServiceName, UpstreamId
from skylarkmoor_policy.upstreamnotices import InstanceId

__all__ = [
    "FIRST_TOKEN_OVERHEAD_MS",
    "Load",
    "RegisteredUpstream",
    "TrackedUpstream",
    "UpstreamStats",
]

# Requests that may queue at an engine beyond its slots, so that a freed slot is reused before
# the dispatcher learns of it.
_ENGINE_QUEUE_DEPTH = 1

# Priors of the estimates: values assumed before there are measurements, each weighted as the
# given number of tokens, events or answers.
_PRIOR_PREFILLED_TOKENS = 2_000.0
_PRIOR_TOKENS_PER_MS = 40.0
_PRIOR_EVENTS = 20.0
_PRIOR_MS_PER_EVENT = 25.0
_PRIOR_ANSWERS = 8.0
# Part of the time to first token that does not depend on the prompt length.
FIRST_TOKEN_OVERHEAD_MS = 20.0
# Assumed time that a request holds a slot, until requests have completed.
_INITIAL_SLOT_HOLD_MS = 400.0
_NO_RECORD = (0, 0, 0, 0, 0, 0)


@dataclass(slots=True)
class Load:
    """Load that one daemon puts on one upstream.

    Attributes
    ----------
    running : int
        Requests sent that have not ended.
    prefill_tokens : int
        Prompt tokens of the requests that have no first token yet.
    """

    running: int = 0
    prefill_tokens: int = 0


@dataclass(slots=True)
class UpstreamStats:
    """Decaying sums of what one daemon has measured at an upstream; records can be added up.

    Attributes
    ----------
    prefilled_tokens, prefill_ms : float
        Prompt tokens processed and the time that this took.
    events, streaming_ms : float
        Intervals between the events of streams, and their total duration.
    responses, failures : float
        Ended requests, and how many of them the upstream failed.
    """

    prefilled_tokens: float = 0.0
    prefill_ms: float = 0.0
    events: float = 0.0
    streaming_ms: float = 0.0
    responses: float = 0.0
    failures: float = 0.0

    def decay(self, keep: float) -> None:
        """Multiply all sums by the factor `keep`."""
        self.prefilled_tokens *= keep
        self.prefill_ms *= keep
        self.events *= keep
        self.streaming_ms *= keep
        self.responses *= keep
        self.failures *= keep

    def values(self) -> tuple[int, int, int, int, int, int]:
        """Return the sums as integers for a message; all but the tokens are in tenths."""
        return (
            round(self.prefilled_tokens),
            round(self.prefill_ms * 10),
            round(self.events * 10),
            round(self.streaming_ms * 10),
            round(self.responses * 10),
            round(self.failures * 10),
        )

    @classmethod
    def from_values(cls, values: Collection[int]) -> "UpstreamStats":
        """Build a record from the result of `values`.

        Raises
        ------
        ValueError
            If there are not exactly six values.
        """
        if len(values) != 6:
            raise ValueError(f"an upstream record has 6 values, got {len(values)}")
        tokens, read, events, streaming_ms, answers, faults = values
        return cls(tokens, read / 10, events / 10, streaming_ms / 10, answers / 10, faults / 10)


@dataclass(frozen=True, slots=True)
class RegisteredUpstream:
    """An upstream as described by its entry in the store.

    Attributes
    ----------
    version : str
        Software version.
    started_wall_ms : int
        Start time, which distinguishes instances under the same id.
    leaving : bool
        Whether it is draining and accepts no new requests.
    failure_domain : FailureDomain
        Failure domain of its host; empty if it names none.
    cold_remaining_ms : int
        For how long it is cold, counted from when the entry was read; 0 if it is not.
    """

    upstream: UpstreamId
    service: ServiceName
    address: tuple[str, int]
    slots: int
    version: str = ""
    started_wall_ms: int = 0
    leaving: bool = False
    failure_domain: FailureDomain = FailureDomain("")
    cold_remaining_ms: int = 0


@dataclass(slots=True)
class TrackedUpstream:
    """An upstream with its load and the estimates that placement uses."""

    registration: RegisteredUpstream
    # According to its entry, an answer or the report of a peer.
    leaving: bool = False
    # Another instance answered at its address.
    replaced: bool = False
    # Whether the operator has ordered that its failure domain gets no requests.
    evacuated: bool = False
    # Until when it wants no request from this host, as it has answered.
    paused_until_ms: int = 0
    # Requests per second that it accepts from all daemons together, as it has announced or while
    # it is cold; None for no limit.
    limit_per_s: float | None = None
    own_load: Load = field(default_factory=Load)
    peer_loads: dict[HostId, Load] = field(default_factory=dict)
    peers_running: int = 0
    peers_prefill_tokens: int = 0
    record: UpstreamStats = field(default_factory=UpstreamStats)
    # Values of the peers' records, and their totals. The totals are updated incrementally, because
    # summing the records of all peers for all upstreams at each refresh is expensive.
    peer_records: dict[HostId, tuple[int, ...]] = field(default_factory=dict)
    peer_totals: list[int] = field(default_factory=lambda: [0] * 6)
    tokens_per_ms: float = _PRIOR_TOKENS_PER_MS
    ms_per_event: float = _PRIOR_MS_PER_EVENT
    slot_hold_ms: float = _INITIAL_SLOT_HOLD_MS
    fault_rate: float = 0.0
    consecutive_failures: int = 0
    backoff_until_ms: int = 0
    # Assigns the upstream to a slot group; identical on all daemons.
    id_hash: int = field(init=False)

    def __post_init__(self) -> None:
        """Cache the hash of the id."""
        self.id_hash = hash64(self.registration.upstream)

    @property
    def upstream(self) -> UpstreamId:
        """Id of the upstream."""
        return self.registration.upstream

    @property
    def instance(self) -> InstanceId:
        """The instance that its entry describes."""
        return InstanceId(self.registration.upstream, self.registration.started_wall_ms)

    @property
    def slots(self) -> int:
        """Number of requests that it runs concurrently."""
        return self.registration.slots

    @property
    def started_wall_ms(self) -> int:
        """Start time of the instance in epoch milliseconds."""
        return self.registration.started_wall_ms

    @property
    def usable_slots(self) -> int:
        """Number of requests that run concurrently if it gets as many as its limit allows."""
        if self.limit_per_s is None:
            return self.slots
        return max(1, min(self.slots, ceil(self.limit_per_s * self.slot_hold_ms / 1_000)))

    def is_available(self, now_ms: int) -> bool:
        """Return whether this host may send it requests."""
        return (
            not self.leaving
            and not self.replaced
            and not self.evacuated
            and self.paused_until_ms <= now_ms
        )

    def running(self) -> int:
        """Return the number of requests of all daemons that run or queue here."""
        return self.own_load.running + self.peers_running

    def prefill_tokens(self) -> int:
        """Return the number of prompt tokens of all daemons that await prefill here."""
        return self.own_load.prefill_tokens + self.peers_prefill_tokens

    def has_capacity(self) -> bool:
        """Return whether a new request would run or queue within the allowed depth."""
        return self.running() < self.slots + _ENGINE_QUEUE_DEPTH

    def predicted_first_token_ms(self, prompt_tokens: int, running: int | None = None) -> float:
        """Return the predicted time to first token of a new request.

        Parameters
        ----------
        running : int, optional
            Number of requests that run or queue here; by default, those of all daemons.
        """
        excess = (self.running() if running is None else running) + 1 - self.usable_slots
        queued_ms = max(0, excess) * self.slot_hold_ms / max(1, self.usable_slots)
        prefill_ms = (self.prefill_tokens() + prompt_tokens) / self.tokens_per_ms
        return FIRST_TOKEN_OVERHEAD_MS + queued_ms + prefill_ms

    def set_peer_record(self, peer: HostId, values: tuple[int, ...] | None) -> None:
        """Set the record values of a peer; None removes them."""
        previous = self.peer_records.pop(peer, _NO_RECORD)
        current = _NO_RECORD if values is None else values
        if values is not None:
            self.peer_records[peer] = values
        for i, (before, now) in enumerate(zip(previous, current, strict=True)):
            self.peer_totals[i] += now - before

    def refresh(self) -> None:
        """Recompute the estimates from the records of all daemons and the priors."""
        records = [self.record, UpstreamStats.from_values(self.peer_totals)]
        tokens = _PRIOR_PREFILLED_TOKENS + sum(each.prefilled_tokens for each in records)
        prior_ms = _PRIOR_PREFILLED_TOKENS / _PRIOR_TOKENS_PER_MS
        self.tokens_per_ms = tokens / (prior_ms + sum(each.prefill_ms for each in records))
        streaming_ms = _PRIOR_EVENTS * _PRIOR_MS_PER_EVENT + sum(
            each.streaming_ms for each in records
        )
        self.ms_per_event = streaming_ms / (_PRIOR_EVENTS + sum(each.events for each in records))
        answers = _PRIOR_ANSWERS + sum(each.responses for each in records)
        self.fault_rate = sum(each.failures for each in records) / answers
