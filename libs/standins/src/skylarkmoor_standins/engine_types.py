"""Requests, records, settings and fault settings of the simulated engine."""

from dataclasses import dataclass
from enum import Enum

import msgspec

from skylarkmoor_standins.fault_settings import NonNegativeInt, PositiveFloat, UnitFraction

__all__ = [
    "AttemptOutcome",
    "EngineFaults",
    "EngineSettings",
    "GenerateRequest",
    "KvHandle",
    "Order",
    "OrderKind",
    "LoadReport",
    "AttemptRecord",
    "VersionFaults",
]


class AttemptOutcome(Enum):
    """How an attempt ended."""

    DONE = "done"
    CANCELLED = "cancelled"
    # The connection was lost and no client resumed the attempt within the grace period.
    ABANDONED = "abandoned"
    ERROR = "error"


class OrderKind(Enum):
    """Kind of control order: load or unload a model version, or change the engine's role."""

    LOAD = "load"
    UNLOAD = "unload"
    ROLE = "role"


class GenerateRequest(msgspec.Struct, frozen=True):
    """Body of a generate request.

    Attributes
    ----------
    prompt : str
        Prompt, followed by the first `start_position` words of the answer.
    max_tokens : int
        Maximum length of the whole answer, including the first `start_position` tokens.
    """

    attempt: str
    version: str
    prompt: str
    max_tokens: int
    start_position: int = 0


class Order(msgspec.Struct, frozen=True):
    """Control order for the engine; `fencing` is the issuer's fencing token."""

    order: OrderKind
    fencing: int
    version: str = ""
    role: str = ""


class KvHandle(msgspec.Struct, frozen=True):
    """Reference to cached prefix blocks by their hashes, for transfer to another engine."""

    blocks: tuple[int, ...]
    tokens: int


class LoadReport(msgspec.Struct, frozen=True):
    """Load report; the counts are those of `as_of_ms`, the other fields are current."""

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
    """Faults injected into requests for one version.

    Attributes
    ----------
    after_requests : int
        Number of requests for this version before the faults start.
    route_text : str
        Only prompts that contain this text are affected.
    min_running : int
        Only requests that arrive while at least this many attempts run are affected.
    """

    error_rate: UnitFraction = 0.0
    slow_factor: PositiveFloat = 1.0
    after_requests: NonNegativeInt = 0
    route_text: str = ""
    min_running: NonNegativeInt = 0


class EngineFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults that an engine injects.

    Attributes
    ----------
    slow_factor : float
        Multiplies the duration of every step.
    error_rate : float
        Fraction of the attempts that are answered with 500.
    crash_on : str
        The process exits when a prompt that contains this text is admitted to the batch.
    cut_streams : int
        Break each connection after this many chunks; 0 disables the fault.
    duplicate_chunks, crossed_chunks : float
        Fraction of the chunks that are sent twice, or that are preceded by a chunk with the id
        of another attempt.
    truncate : bool
        Answers end without the end marker.
    frozen : bool
        The engine makes no progress and answers only ``/served`` and ``/faults``, but keeps
        connections open.
    leaving : bool
        New attempts are refused and do not run.
    versions : dict
        Additional faults by model version.
    """

    slow_factor: PositiveFloat = 1.0
    error_rate: UnitFraction = 0.0
    crash_on: str = ""
    cut_streams: NonNegativeInt = 0
    duplicate_chunks: UnitFraction = 0.0
    crossed_chunks: UnitFraction = 0.0
    truncate: bool = False
    frozen: bool = False
    leaving: bool = False
    versions: dict[str, VersionFaults] = {}


class AttemptRecord(msgspec.Struct):
    """Record of an attempt; `position` is that of the next answer token to generate."""

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
    end: AttemptOutcome | None = None


@dataclass(frozen=True, slots=True)
class EngineSettings:
    """Capacity, speed and delays of a simulated engine.

    Attributes
    ----------
    decode_ms, decode_ms_per_running : float
        Fixed duration of a decode step, and its increase for each attempt in the step.
    prefill_chunk_tokens : int
        Maximum number of prompt tokens that one step computes besides decoding.
    report_lag_ms : int
        Age of the counts in a report.
    resume_grace_ms : int
        Time for which an attempt continues after its connection was lost.
    keep_ms : int
        Time for which an ended attempt can still be resumed.
    load_ms : int
        Time to load a version when no weight store is configured.
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
