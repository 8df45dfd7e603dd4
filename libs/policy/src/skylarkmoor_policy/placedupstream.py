"""What a daemon knows of an upstream: its entry, the work there, and how it has done so far."""

from collections.abc import Collection
from dataclasses import dataclass, field

from skylarkmoor_core.hashing import hash64
from skylarkmoor_core.ids import HostId, ServiceName, UpstreamId

__all__ = [
    "BASE_MS",
    "ListedUpstream",
    "Load",
    "PlacedUpstream",
    "UpstreamRecord",
]

# Requests beyond an engine's slots that may wait there, so that a slot that becomes free is
# taken before the dispatcher has heard of it.
_QUEUE_MARGIN = 1

# What is assumed before anything is measured, as if it had been seen on this many tokens,
# events or answers.
_PRIOR_READ_TOKENS = 2_000.0
_PRIOR_TOKENS_PER_MS = 40.0
_PRIOR_EVENTS = 20.0
_PRIOR_EVENT_MS = 25.0
_PRIOR_ANSWERS = 8.0
# Time to a first token besides reading the prompt.
BASE_MS = 20.0
# Time that a request usually holds a slot, until some have ended.
_START_HOLD_MS = 400.0


@dataclass(slots=True)
class Load:
    """Work of one daemon at one upstream.

    Attributes
    ----------
    running : int
        Requests sent and not ended.
    prefill_tokens : int
        Prompt tokens of those that have not answered yet.
    """

    running: int = 0
    prefill_tokens: int = 0


@dataclass(slots=True)
class UpstreamRecord:
    """What one daemon has seen of an upstream; the sums fade, and those of daemons add up.

    Attributes
    ----------
    read_tokens, read_ms : float
        Prompt tokens read and the time for them.
    events, events_ms : float
        Events of streams and the time between the first and the last.
    answers, faults : float
        Ended requests, and those of them that the upstream failed.
    """

    read_tokens: float = 0.0
    read_ms: float = 0.0
    events: float = 0.0
    events_ms: float = 0.0
    answers: float = 0.0
    faults: float = 0.0

    def fade(self, keep: float) -> None:
        """Multiply all sums by `keep`."""
        self.read_tokens *= keep
        self.read_ms *= keep
        self.events *= keep
        self.events_ms *= keep
        self.answers *= keep
        self.faults *= keep

    def values(self) -> tuple[int, int, int, int, int, int]:
        """Return the sums in order, times in tenths of a millisecond and counts in tenths."""
        return (
            round(self.read_tokens),
            round(self.read_ms * 10),
            round(self.events * 10),
            round(self.events_ms * 10),
            round(self.answers * 10),
            round(self.faults * 10),
        )

    @classmethod
    def of(cls, values: Collection[int]) -> "UpstreamRecord":
        """Return the record that has these `values`.

        Raises
        ------
        ValueError
            If there are not six of them.
        """
        if len(values) != 6:
            raise ValueError(f"a record has 6 values, got {len(values)}")
        tokens, read, events, events_ms, answers, faults = values
        return cls(tokens, read / 10, events / 10, events_ms / 10, answers / 10, faults / 10)


@dataclass(frozen=True, slots=True)
class ListedUpstream:
    """An upstream as its entry in the list says.

    Attributes
    ----------
    version : str
        Version of its software.
    started_wall_ms : int
        Start time, which tells a restart under the same id.
    leaving : bool
        Whether it takes no more work.
    """

    upstream: UpstreamId
    service: ServiceName
    address: tuple[str, int]
    slots: int
    version: str = ""
    started_wall_ms: int = 0
    leaving: bool = False


@dataclass(slots=True)
class PlacedUpstream:
    """An upstream as placement sees it."""

    listed: ListedUpstream
    # By its own entry or a peer's word.
    leaving: bool = False
    # Another instance has answered at the address.
    replaced: bool = False
    own: Load = field(default_factory=Load)
    peers: dict[HostId, Load] = field(default_factory=dict)
    peers_running: int = 0
    peers_prefill_tokens: int = 0
    record: UpstreamRecord = field(default_factory=UpstreamRecord)
    # Values of the peers' records, and their sums, which are kept so that no sweep has to add up
    # the records of all peers for all upstreams.
    peer_records: dict[HostId, tuple[int, ...]] = field(default_factory=dict)
    peer_sums: list[int] = field(default_factory=lambda: [0] * 6)
    tokens_per_ms: float = _PRIOR_TOKENS_PER_MS
    event_ms: float = _PRIOR_EVENT_MS
    hold_ms: float = _START_HOLD_MS
    fault_part: float = 0.0
    failures: int = 0
    rest_until_ms: int = 0
    # Assigns the upstream to a group; the same on all daemons.
    id_hash: int = field(init=False)

    def __post_init__(self) -> None:
        """Take the hash of the id once."""
        self.id_hash = hash64(self.listed.upstream)

    @property
    def upstream(self) -> UpstreamId:
        """Its id."""
        return self.listed.upstream

    @property
    def slots(self) -> int:
        """Requests that it runs at a time."""
        return self.listed.slots

    @property
    def started_wall_ms(self) -> int:
        """Its start time."""
        return self.listed.started_wall_ms

    def running(self) -> int:
        """Return the requests of all daemons that run or wait here."""
        return self.own.running + self.peers_running

    def prefill_tokens(self) -> int:
        """Return the prompt tokens of all daemons that still have to be read here."""
        return self.own.prefill_tokens + self.peers_prefill_tokens

    def has_room(self) -> bool:
        """Return whether a new request would soon get a slot."""
        return self.running() < self.slots + _QUEUE_MARGIN

    def start_ms(self, prompt_tokens: int) -> float:
        """Return the predicted time to the first token of a new request."""
        excess = self.running() + 1 - self.slots
        queued_ms = max(0, excess) * self.hold_ms / max(1, self.slots)
        read_ms = (self.prefill_tokens() + prompt_tokens) / self.tokens_per_ms
        return BASE_MS + queued_ms + read_ms

    def set_peer_record(self, peer: HostId, values: tuple[int, ...] | None) -> None:
        """Take a peer's record; None drops it."""
        before = self.peer_records.pop(peer, None)
        if before is not None:
            self.peer_sums = [
                total - part for total, part in zip(self.peer_sums, before, strict=True)
            ]
        if values is not None:
            self.peer_records[peer] = values
            self.peer_sums = [
                total + part for total, part in zip(self.peer_sums, values, strict=True)
            ]

    def refresh(self) -> None:
        """Combine the records of all daemons."""
        records = [self.record, UpstreamRecord.of(self.peer_sums)]
        tokens = _PRIOR_READ_TOKENS + sum(each.read_tokens for each in records)
        prior_ms = _PRIOR_READ_TOKENS / _PRIOR_TOKENS_PER_MS
        self.tokens_per_ms = tokens / (prior_ms + sum(each.read_ms for each in records))
        events_ms = _PRIOR_EVENTS * _PRIOR_EVENT_MS + sum(each.events_ms for each in records)
        self.event_ms = events_ms / (_PRIOR_EVENTS + sum(each.events for each in records))
        answers = _PRIOR_ANSWERS + sum(each.answers for each in records)
        self.fault_part = sum(each.faults for each in records) / answers
