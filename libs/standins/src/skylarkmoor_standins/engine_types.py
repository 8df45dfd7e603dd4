"""Requests, records, settings and fault switches of the stand-in engine."""

from dataclasses import dataclass
from enum import Enum

import msgspec

from skylarkmoor_standins.faults import Count, Factor, Share

__all__ = [
    "Ended",
    "EngineFaults",
    "EngineSettings",
    "Generate",
    "KvHandle",
    "Order",
    "OrderKind",
    "Report",
    "Served",
    "VersionFaults",
]


class Ended(Enum):
    """How an attempt ended."""

    DONE = "done"
    CANCELLED = "cancelled"
    # The connection broke and nobody resumed in time.
    ABANDONED = "abandoned"
    ERROR = "error"


class OrderKind(Enum):
    """What an order changes."""

    LOAD = "load"
    UNLOAD = "unload"
    ROLE = "role"


class Generate(msgspec.Struct, frozen=True):
    """Request for an answer.

    Attributes
    ----------
    prompt : str
        Prompt, followed by the first `start_position` words of the answer.
    max_tokens : int
        Limit of the whole answer, counted from position 0.
    """

    attempt: str
    version: str
    prompt: str
    max_tokens: int
    start_position: int = 0


class Order(msgspec.Struct, frozen=True):
    """Order to load or unload a version or to change the role."""

    order: OrderKind
    fencing: int
    version: str = ""
    role: str = ""


class KvHandle(msgspec.Struct, frozen=True):
    """Names the cache blocks of an attempt."""

    blocks: tuple[int, ...]
    tokens: int


class Report(msgspec.Struct, frozen=True):
    """Load of the engine; the counts are those of `as_of_ms`, the rest is current."""

    incarnation: int
    as_of_ms: int
    running: int
    waiting: int
    kv_used_tokens: int
    kv_capacity_tokens: int
    max_batch: int
    versions: tuple[str, ...]
    role: str
    leaving: bool
    loading: tuple[str, ...]


class VersionFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults of one version.

    Attributes
    ----------
    after_requests : int
        Requests of this version that are served before the faults begin.
    route_text : str
        Only prompts that contain this text are affected.
    min_running : int
        The faults show only while at least this many attempts run.
    """

    error_rate: Share = 0.0
    slow_factor: Factor = 1.0
    after_requests: Count = 0
    route_text: str = ""
    min_running: Count = 0


class EngineFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Fault switches of an engine.

    Attributes
    ----------
    slow_factor : float
        Every step takes this many times as long.
    error_rate : float
        Share of the attempts that are answered with 500.
    crash_on : str
        The process exits at once when it admits a prompt that contains this text.
    cut_streams : int
        Break each connection after this many chunks; 0 is never.
    duplicate_chunks, crossed_chunks : float
        Share of the chunks that are sent twice, or that follow a chunk with the id of another
        attempt.
    truncate : bool
        Answers end without their end marker.
    frozen : bool
        Nothing runs and nothing is answered, but connections stay open.
    leaving : bool
        New work is refused and does not run.
    versions : dict
        Faults by version.
    """

    slow_factor: Factor = 1.0
    error_rate: Share = 0.0
    crash_on: str = ""
    cut_streams: Count = 0
    duplicate_chunks: Share = 0.0
    crossed_chunks: Share = 0.0
    truncate: bool = False
    frozen: bool = False
    leaving: bool = False
    versions: dict[str, VersionFaults] = {}


class Served(msgspec.Struct):
    """Record of an attempt; `position` is the next position of its answer."""

    attempt: str
    version: str
    prompt_hash: int
    prompt_tokens: int
    start_position: int
    position: int
    total: int
    arrived_ms: float
    prefill_tokens: int = 0
    cached_tokens: int = 0
    admitted_ms: float | None = None
    first_token_ms: float | None = None
    ended_ms: float | None = None
    end: Ended | None = None


@dataclass(frozen=True, slots=True)
class EngineSettings:
    """Sizes and speeds of an engine.

    Attributes
    ----------
    decode_ms, decode_ms_per_running : float
        A decode step takes the first plus the second for each attempt in it.
    prefill_chunk_tokens : int
        Prompt tokens that one step computes beside its decoding.
    report_lag_ms : int
        Age of the counts in a report.
    resume_grace_ms : int
        Time for which an attempt goes on after its connection broke.
    keep_ms : int
        Time for which the text of an ended attempt is kept.
    load_ms : int
        Time to load a version without a weight store.
    """

    prefill_tokens_per_s: float = 8_000
    decode_ms: float = 15
    decode_ms_per_running: float = 1
    prefill_chunk_tokens: int = 128
    max_batch: int = 8
    kv_capacity_tokens: int = 32_768
    cache_tokens: int = 16_384
    report_lag_ms: int = 500
    event_delay_ms: int = 300
    event_gap_rate: float = 0.02
    resume_grace_ms: int = 1_000
    keep_ms: int = 10_000
    load_ms: int = 1_000
    checks_fencing: bool = True
