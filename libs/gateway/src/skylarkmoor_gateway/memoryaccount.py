"""Counts what a gateway process holds for callers, and has callers give way at its bounds."""

import logging
from collections.abc import Callable
from typing import Protocol

from skylarkmoor_core.clock import Clock
from skylarkmoor_core.logs import part_logger
from skylarkmoor_gateway.metrics import GatewayMetrics
from skylarkmoor_policy.memorybounds import (
    FREE_BODY_BYTES,
    MAX_READ_BYTES,
    MIN_READ_BYTES,
    NEW_CONNECTION_MS,
    TIGHT_FRACTION,
    BodyGrants,
    GrantResult,
    Holding,
    MemoryBounds,
    choose_victims,
    is_upload_too_slow,
)

__all__ = ["CallerHolding", "HoldingConnection", "MemoryAccount"]

# The first read of a body before its grant, and the objects of the parser.
_WAITING_BYTES = 65_536
# Connections beyond the bound that are accepted while idle ones are being closed for them.
_ACCEPT_MARGIN = 4
_LOG_INTERVAL_MS = 1_000
# Writes that count before the next check. Heads and events of streams are far smaller.
_COUNTED_WRITE_BYTES = 4_096
# How often the rate of uploads is checked; their bound is in minutes.
_UPLOAD_CHECK_MS = 5_000

_log = part_logger("memory")


class HoldingConnection(Protocol):
    """A connection of a caller, as the account sees it."""

    def unsent_bytes(self) -> int:
        """Return the bytes of responses that the kernel has not taken yet."""

    def body_granted(self) -> None:
        """Go on with a request whose body has waited for its grant."""

    def give_way(self, status: int, reason: str) -> None:
        """Refuse the request that is being received, or close the connection."""

    def close_if_idle(self) -> None:
        """Close the connection unless a request is in progress or partly received."""


class CallerHolding(Holding):
    """What is held for one caller, and the connection that it belongs to."""

    __slots__ = (
        "connection",
        "idle_since_ms",
        "is_paused",
        "is_unread",
        "received_bytes",
        "reserved_bytes",
        "response_bytes",
        "unsent_bytes",
        "upload_since_ms",
    )

    def __init__(self, connection: HoldingConnection, now_ms: int) -> None:
        super().__init__(progress_ms=now_ms)
        self.connection = connection
        # Since when no request is in progress.
        self.idle_since_ms = now_ms
        # Bytes of requests that were received and are not answered yet.
        self.received_bytes = 0
        # The grant of the body, which covers the bytes received.
        self.reserved_bytes = 0
        # Bytes of a response that are held back until the request can no longer be retried.
        self.response_bytes = 0
        self.unsent_bytes = 0
        # Whether the kernel did not take all of a response by the last look.
        self.is_unread = False
        # Whether bytes may pile up in the kernel, as nothing is read.
        self.is_paused = False
        self.upload_since_ms: int | None = None


class MemoryAccount:
    """The bytes held for callers, with the connections that hold them.

    Parameters
    ----------
    bounds : MemoryBounds
        Bounds of the process.
    clock : Clock
        Time source.
    metrics : GatewayMetrics
        Counts what gives way.

    Attributes
    ----------
    total_bytes : int
        What is held for callers now.
    other_bytes : callable
        Returns what is held for tunnels.
    on_room : callable
        Called when connections may be accepted again.
    on_full : callable
        Called when no more connections may be accepted.
    """

    def __init__(self, bounds: MemoryBounds, clock: Clock, metrics: GatewayMetrics) -> None:
        self.bounds = bounds
        self.total_bytes = 0
        self.other_bytes: Callable[[], int] = lambda: 0
        self.on_room: Callable[[], None] = lambda: None
        self.on_full: Callable[[], None] = lambda: None
        self._clock = clock
        self._metrics = metrics
        self._kernel_bytes = 2 * (bounds.kernel_buffer_bytes or 0)
        self._grants: BodyGrants[CallerHolding] = BodyGrants(
            bounds.held_bytes, _WAITING_BYTES + self._kernel_bytes
        )
        self._holdings: set[CallerHolding] = set()
        # Connections without a request in progress, those of the longest time first: such as have
        # completed no request yet, and others.
        self._new: dict[CallerHolding, None] = {}
        self._idle: dict[CallerHolding, None] = {}
        # Connections with bytes that the kernel had not taken at the last look.
        self._writing: dict[CallerHolding, None] = {}
        self._uploads: dict[CallerHolding, None] = {}
        self._uploads_checked_ms = 0
        self._is_full = False
        self._unlogged: dict[str, int] = {}
        self._logged_ms = -_LOG_INTERVAL_MS

    def is_tight(self) -> bool:
        """Return whether only what is needed for requests in progress is to be read."""
        return self.total_bytes > self.bounds.held_bytes * TIGHT_FRACTION

    def read_bytes(self) -> int:
        """Return how much a connection may read at once, and hold before its source is paused."""
        is_crowded = len(self._holdings) > self.bounds.max_large_reads
        return MIN_READ_BYTES if is_crowded or self.is_tight() else MAX_READ_BYTES

    def connections(self) -> int:
        """Return the number of connections of callers."""
        return len(self._holdings)

    def waiting_bodies(self) -> int:
        """Return the number of bodies that wait for a grant."""
        return self._grants.waiting()

    def may_accept(self) -> bool:
        """Return whether a connection may be accepted, after closing an idle one if needed."""
        if len(self._holdings) < self.bounds.max_connections:
            return True
        candidates = self._idle
        oldest = next(iter(self._new), None)
        if oldest is not None and (
            not self._idle or self._clock.now_ms() - oldest.idle_since_ms > NEW_CONNECTION_MS
        ):
            candidates = self._new
        if candidates:
            holding = next(iter(candidates))
            del candidates[holding]
            self._count("closed_idle")
            holding.connection.give_way(408, "the gateway has too many connections")
        if len(self._holdings) < self.bounds.max_connections + _ACCEPT_MARGIN:
            return True
        if not self._is_full:
            self._is_full = True
            self._count("accepting_paused")
            self.on_full()
        return False

    def add(self, connection: HoldingConnection) -> CallerHolding:
        """Return the holding of a new connection."""
        holding = CallerHolding(connection, self._clock.now_ms())
        self._holdings.add(holding)
        self._new[holding] = None
        return holding

    def remove(self, holding: CallerHolding) -> None:
        """Forget a connection that was closed."""
        if holding not in self._holdings:
            return
        self._grants.release(holding)
        self._holdings.discard(holding)
        self.total_bytes -= holding.held_bytes
        holding.held_bytes = 0
        for table in (self._new, self._idle, self._writing, self._uploads):
            table.pop(holding, None)
        if self._is_full and len(self._holdings) < self.bounds.max_connections:
            self._is_full = False
            self.on_room()

    def received(self, holding: CallerHolding, count: int) -> None:
        """Record bytes of a caller."""
        holding.received_bytes += count
        holding.progress_ms = self._clock.now_ms()
        if holding.reserved_bytes:
            self._grants.progress(holding, count, holding.progress_ms)
        self._update(holding)

    def paused(self, holding: CallerHolding, is_paused: bool) -> None:
        """Record whether the connection is not read."""
        if holding.is_paused != is_paused:
            holding.is_paused = is_paused
            self._update(holding)

    def request_began(self, holding: CallerHolding) -> None:
        """Record that the head of a request is complete."""
        self._new.pop(holding, None)
        self._idle.pop(holding, None)
        holding.upload_since_ms = self._clock.now_ms()
        self._uploads[holding] = None

    def request_complete(self, holding: CallerHolding) -> None:
        """Record that a request has arrived completely."""
        self._grants.complete(holding)
        self._uploads.pop(holding, None)
        holding.is_working = True

    def request_ended(self, holding: CallerHolding, pending_bytes: int) -> None:
        """Record that a request was answered.

        Parameters
        ----------
        pending_bytes : int
            Bytes of the next requests that have been received.
        """
        if holding not in self._holdings:
            return
        holding.received_bytes = pending_bytes
        holding.response_bytes = 0
        holding.is_working = False
        self._release(holding)
        self._uploads.pop(holding, None)
        holding.idle_since_ms = self._clock.now_ms()
        self._idle[holding] = None

    def discarded(self, holding: CallerHolding) -> None:
        """Record that what has been received of a request was discarded."""
        holding.received_bytes = holding.response_bytes = 0
        holding.is_working = False
        self._uploads.pop(holding, None)
        self._release(holding)

    def grant(self, holding: CallerHolding, size_bytes: int) -> GrantResult:
        """Ask for a body of at most the given size."""
        if size_bytes <= FREE_BODY_BYTES:
            return GrantResult.GRANTED
        result = self._grants.request(holding, size_bytes, self._clock.now_ms())
        holding.reserved_bytes = self._grants.granted_bytes(holding)
        self._update(holding)
        if result is GrantResult.REFUSED:
            self._count("body_refused")
        return result

    def response_held(self, holding: CallerHolding, count: int) -> None:
        """Set the bytes of a response that are held back for a retry."""
        holding.response_bytes = count
        self._update(holding)

    def written(self, holding: CallerHolding, count: int) -> None:
        """Record bytes that were written to a caller; the next check sees what is left of them."""
        if holding not in self._holdings:
            return
        holding.unsent_bytes += count
        if holding not in self._writing:
            self._writing[holding] = None
            if not holding.has_response:
                holding.has_response = True
                holding.progress_ms = self._clock.now_ms()
        if count >= _COUNTED_WRITE_BYTES:
            self._update(holding)

    def check(self, now_ms: int) -> None:
        """Look at the unread responses, give grants, and close what exceeds the bounds."""
        for holding in list(self._writing):
            self._look(holding, now_ms)
        changes = self._grants.check(now_ms)
        for holding in changes.stalled:
            self._give_way(holding, "upload_stalled", 408, "the request did not arrive in time")
        for holding in changes.refused:
            self._give_way(holding, "body_refused", 503, "too many large bodies are received now")
        for holding in changes.granted:
            holding.reserved_bytes = self._grants.granted_bytes(holding)
            holding.progress_ms = now_ms
            self._update(holding)
            holding.connection.body_granted()
        total_bytes = self.total_bytes + self.other_bytes()
        for holding in choose_victims(self._holdings, total_bytes, self.bounds.held_bytes, now_ms):
            self._give_way(holding, "memory", 503, "the gateway holds too much for its callers")
        if now_ms - self._uploads_checked_ms >= _UPLOAD_CHECK_MS:
            self._uploads_checked_ms = now_ms
            for holding in list(self._uploads):
                since_ms = holding.upload_since_ms or now_ms
                if is_upload_too_slow(holding.received_bytes, now_ms - since_ms):
                    reason = "the request did not arrive in time"
                    self._give_way(holding, "upload_slow", 408, reason)
        if self._unlogged and now_ms - self._logged_ms >= _LOG_INTERVAL_MS:
            self._log(now_ms)

    def _look(self, holding: CallerHolding, now_ms: int) -> None:
        unsent = holding.connection.unsent_bytes()
        if unsent < holding.unsent_bytes:
            holding.progress_ms = now_ms
        holding.unsent_bytes = unsent
        holding.is_unread = unsent > 0
        if not unsent:
            self._writing.pop(holding, None)
            holding.has_response = False
        self._update(holding)

    def _release(self, holding: CallerHolding) -> None:
        self._grants.release(holding)
        holding.reserved_bytes = 0
        self._update(holding)

    def _update(self, holding: CallerHolding) -> None:
        if holding not in self._holdings:
            return
        held = max(holding.received_bytes, holding.reserved_bytes)
        held += holding.response_bytes + holding.unsent_bytes
        if holding.is_paused:
            held += self._kernel_bytes
        if holding.is_unread:
            held += self._kernel_bytes
        self.total_bytes += held - holding.held_bytes
        holding.held_bytes = held

    def _give_way(self, holding: CallerHolding, cause: str, status: int, reason: str) -> None:
        self._count(cause)
        self._release(holding)
        holding.connection.give_way(status, reason)

    def _count(self, cause: str) -> None:
        self._metrics.gave_way(cause)
        self._unlogged[cause] = self._unlogged.get(cause, 0) + 1

    def _log(self, now_ms: int) -> None:
        self._logged_ms = now_ms
        counts, self._unlogged = self._unlogged, {}
        _log.log(
            logging.WARNING,
            "callers gave way at a bound",
            extra={
                **counts,
                "held_bytes": self.total_bytes,
                "bound_bytes": self.bounds.held_bytes,
                "connections": len(self._holdings),
                "max_connections": self.bounds.max_connections,
                "waiting_bodies": self._grants.waiting(),
            },
        )
