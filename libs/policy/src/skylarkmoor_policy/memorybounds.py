"""Bounds of the memory and the connections of a gateway, and which callers give way at them.

A gateway holds what callers send until it can be forwarded, and responses until callers read them.
The bounds are derived from the memory and the file descriptors of the host. Bodies of more than a
few kilobytes need a grant, which reserves their whole size, so that a body that was granted can
always be received completely. Bodies without a grant wait in the order of their arrival.
"""

from collections.abc import Hashable, Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import Generic, TypeVar

__all__ = [
    "FREE_BODY_BYTES",
    "MAX_READ_BYTES",
    "MIN_READ_BYTES",
    "NEW_CONNECTION_MS",
    "SMALL_BODY_BYTES",
    "TIGHT_FRACTION",
    "BodyGrants",
    "GrantChanges",
    "GrantResult",
    "Holding",
    "MemoryBounds",
    "choose_victims",
    "derive_bounds",
    "is_upload_too_slow",
]

_MB = 1_048_576

# Resident size of a gateway without callers: 66 MB with a small configuration, the rest is for the
# states of peers.
_BASE_BYTES = 72 * _MB
# Part of the remaining memory that is counted. The interpreter needs about as much again for its
# objects, for copies and for free memory that it does not return.
_COUNTED_FRACTION = 0.45
# Enough for one body of the largest size, so that a single request is always served.
_MIN_HELD_BYTES = 6 * _MB
# Without a bound of the host.
_DEFAULT_HELD_BYTES = 256 * _MB
_DEFAULT_MAX_CONNECTIONS = 8_192
_DEFAULT_MAX_TUNNELS = 1_000
_DEFAULT_MAX_IDLE_UPSTREAMS = 19_200
# Objects of a connection that sends nothing: 12 to 15 kB.
_CONNECTION_BYTES = 16_384
# Two connections with up to 64 KiB unsent each.
_TUNNEL_BYTES = 131_072
_MIN_KERNEL_BUFFER_BYTES = 16_384
_MAX_KERNEL_BUFFER_BYTES = 65_536

# Descriptors that the host reserves for files, and those of listeners, logs and the store.
_RESERVED_FDS = 200
_OWN_FDS = 40
# Fractions of the other descriptors. Each caller may need one for an upstream as well; the rest
# is for peers, of which each needs up to two.
_CALLER_FDS_FRACTION = 0.3
_TUNNEL_FDS_FRACTION = 0.1
_IDLE_UPSTREAM_FDS_FRACTION = 0.05

# Bytes of one read, and of a response that is not read before its source is paused: normally, and
# while there are so many connections that one read of each would be an eighth of the bound.
MAX_READ_BYTES = 65_536
MIN_READ_BYTES = 16_384
# Bodies up to this size need no grant.
FREE_BODY_BYTES = 8_192
# Bodies up to this size have a pool of their own, so that large ones do not delay them.
SMALL_BODY_BYTES = 65_536
# A body exists twice when it is complete, and when it is written to an upstream.
_COPIES = 2
# Fractions of the bound; the rest is for heads, bodies without a grant and unread responses.
_SMALL_POOL_FRACTION = 0.2
_LARGE_POOL_FRACTION = 0.4
_WAITING_FRACTION = 0.2

# Time for which a body waits for a grant before its request is refused. It is shorter than the
# idle timeout, so that the caller still reads the refusal.
_MAX_WAIT_MS = 10_000
# Time without a byte after which an upload gives way while others wait: the first is divided by
# the number of those that wait, the second is several round trips.
_PATIENCE_MS = 2_000
_MIN_PATIENCE_MS = 250
# Bodies that wait for grants of one size class. If each of them stalls once granted, all have had
# their turn within `_MAX_WAIT_MS`.
_MAX_WAITING = 32
# An upload slower than this, averaged over at least `_SLOW_AFTER_MS`, gives way while others wait
# for longer than `_SLOW_WAIT_MS`.
_SLOW_BYTES_PER_S = 32_768
_SLOW_AFTER_MS = 2_000
_SLOW_WAIT_MS = 1_000
# A response that a caller has read nothing of for this time is cut off before others.
_UNREAD_AFTER_MS = 1_000
# Fraction of the bound above which pipelined bytes are no longer read, before anyone gives way.
TIGHT_FRACTION = 0.5
# Fraction of the bound down to which connections are closed, so that this is not done for each.
_LOW_FRACTION = 0.85

# Time for the first request of a connection to arrive, several round trips. Later, the connection
# is closed for a new one before those that have been used.
NEW_CONNECTION_MS = 1_000

# Uploads that nobody waits for: the slowest links of callers carry several kB/s.
_MIN_UPLOAD_BYTES_PER_S = 256
_UPLOAD_GRACE_MS = 30_000


@dataclass(frozen=True, slots=True)
class MemoryBounds:
    """Bounds of one gateway process.

    Attributes
    ----------
    held_bytes : int
        Bytes held for callers, upstreams and tunnels.
    max_connections : int
        Connections of callers.
    max_tunnels : int
        Connections that are passed on for peers.
    max_idle_upstreams : int
        Idle connections to all upstreams.
    kernel_buffer_bytes : int or None
        Size of the send and receive buffers of a connection; None for the default of the kernel.
    """

    held_bytes: int = _DEFAULT_HELD_BYTES
    max_connections: int = _DEFAULT_MAX_CONNECTIONS
    max_tunnels: int = _DEFAULT_MAX_TUNNELS
    max_idle_upstreams: int = _DEFAULT_MAX_IDLE_UPSTREAMS
    kernel_buffer_bytes: int | None = None

    @property
    def max_large_reads(self) -> int:
        """Connections up to which each may read as much as the kernel has."""
        return self.held_bytes // (8 * MAX_READ_BYTES)


def derive_bounds(memory_mb: int | None, max_fds: int | None) -> MemoryBounds:
    """Return the bounds of a process on a host; None for what the host does not bound."""
    held_bytes = _DEFAULT_HELD_BYTES
    connections = _DEFAULT_MAX_CONNECTIONS
    tunnels = _DEFAULT_MAX_TUNNELS
    idle_upstreams = _DEFAULT_MAX_IDLE_UPSTREAMS
    kernel_buffer_bytes = None
    if max_fds is not None:
        free_fds = max(8, max_fds - _RESERVED_FDS - _OWN_FDS)
        connections = max(4, int(free_fds * _CALLER_FDS_FRACTION))
        tunnels = max(1, int(free_fds * _TUNNEL_FDS_FRACTION) // 2)
        idle_upstreams = max(1, int(free_fds * _IDLE_UPSTREAM_FDS_FRACTION))
    if memory_mb is not None:
        free_bytes = memory_mb * _MB - _BASE_BYTES
        held_bytes = max(_MIN_HELD_BYTES, int(free_bytes * _COUNTED_FRACTION))
        connections = min(connections, held_bytes // _CONNECTION_BYTES)
        tunnels = max(1, min(tunnels, held_bytes // _TUNNEL_BYTES))
        kernel_buffer_bytes = min(
            _MAX_KERNEL_BUFFER_BYTES,
            max(_MIN_KERNEL_BUFFER_BYTES, held_bytes // (4 * connections)),
        )
    return MemoryBounds(held_bytes, connections, tunnels, idle_upstreams, kernel_buffer_bytes)


@dataclass(eq=False, slots=True)
class Holding:
    """What is held for one connection of a caller.

    Attributes
    ----------
    progress_ms : int
        Time of the last byte that the caller has sent or read.
    has_response : bool
        Whether the caller has yet to read a part of a response.
    is_working : bool
        Whether the request is in progress, so that the caller is not expected to do anything.
    """

    held_bytes: int = 0
    progress_ms: int = 0
    has_response: bool = False
    is_working: bool = False


_HoldingT = TypeVar("_HoldingT", bound=Holding)


def choose_victims(
    holdings: Iterable[_HoldingT], total_bytes: int, bound_bytes: int, now_ms: int
) -> list[_HoldingT]:
    """Return the connections that give way at the bound, none below it.

    Notes
    -----
    Those that have held most for longest without progress come first. Responses come after all
    requests that have not run: a refused request can be sent again, a response that was cut off
    may have cost an execution. Among responses, those that the caller still reads come last; they
    give way only if nothing else does, as the end of the process would cut off all of them.
    Requests in progress never give way, as their callers do nothing wrong.
    """
    excess_bytes = total_bytes - bound_bytes
    if excess_bytes <= 0:
        return []
    excess_bytes = total_bytes - int(bound_bytes * _LOW_FRACTION)
    candidates = [
        each for each in holdings if each.held_bytes and (each.has_response or not each.is_working)
    ]

    def order(holding: Holding) -> tuple[bool, bool, int]:
        silent_ms = now_ms - holding.progress_ms
        is_read = holding.has_response and silent_ms < _UNREAD_AFTER_MS
        return holding.has_response, is_read, -holding.held_bytes * (silent_ms + 1)

    candidates.sort(key=order)
    victims = []
    for each in candidates:
        if excess_bytes <= 0:
            break
        excess_bytes -= each.held_bytes
        victims.append(each)
    return victims


def is_upload_too_slow(received_bytes: int, elapsed_ms: int) -> bool:
    """Return whether a body arrives more slowly than that of any caller."""
    due_bytes = (elapsed_ms - _UPLOAD_GRACE_MS) * _MIN_UPLOAD_BYTES_PER_S // 1_000
    return received_bytes < due_bytes


class GrantResult(Enum):
    """Whether a body may be received."""

    GRANTED = "granted"
    WAITING = "waiting"
    REFUSED = "refused"


_Key = TypeVar("_Key", bound=Hashable)


@dataclass(slots=True)
class GrantChanges(Generic[_Key]):
    """What has changed since the last check.

    Attributes
    ----------
    granted : list
        Uploads that have waited and now may go on.
    stalled : list
        Uploads that have a grant and give way to others.
    refused : list
        Uploads that have waited for too long.
    """

    granted: list[_Key] = field(default_factory=list)
    stalled: list[_Key] = field(default_factory=list)
    refused: list[_Key] = field(default_factory=list)


@dataclass(slots=True)
class _Upload:
    cost_bytes: int
    since_ms: int
    progress_ms: int
    received_bytes: int = 0
    # Whether the body is complete, so that the grant ends with the request.
    is_complete: bool = False


class _Pool(Generic[_Key]):
    """Grants of bodies of one size class."""

    def __init__(self, bound_bytes: int) -> None:
        self.bound_bytes = bound_bytes
        self.granted_bytes = 0
        self.granted: dict[_Key, _Upload] = {}
        self.waiting: dict[_Key, _Upload] = {}

    def fits(self, cost_bytes: int) -> bool:
        """Return whether a body fits; a single one always does."""
        return not self.granted or self.granted_bytes + cost_bytes <= self.bound_bytes

    def grant(self, key: _Key, upload: _Upload, now_ms: int) -> None:
        upload.since_ms = upload.progress_ms = now_ms
        self.granted[key] = upload
        self.granted_bytes += upload.cost_bytes

    def remove(self, key: _Key) -> None:
        self.waiting.pop(key, None)
        upload = self.granted.pop(key, None)
        if upload is not None:
            self.granted_bytes -= upload.cost_bytes

    def blocking(self, now_ms: int) -> list[_Key]:
        """Return the uploads that give way, so that the first that waits can be granted."""
        first = next(iter(self.waiting.values()))
        patience_ms = max(_MIN_PATIENCE_MS, _PATIENCE_MS // len(self.waiting))
        is_long_wait = now_ms - first.since_ms > _SLOW_WAIT_MS
        stalled: list[tuple[int, _Key]] = []
        slow: list[tuple[float, _Key]] = []
        for key, each in self.granted.items():
            if each.is_complete:
                continue
            silent_ms = now_ms - each.progress_ms
            elapsed_ms = now_ms - each.since_ms
            if silent_ms > patience_ms:
                stalled.append((-silent_ms, key))
            elif is_long_wait and elapsed_ms > _SLOW_AFTER_MS:
                bytes_per_s = each.received_bytes * 1_000 / elapsed_ms
                if bytes_per_s < _SLOW_BYTES_PER_S:
                    slow.append((bytes_per_s, key))
        stalled.sort(key=lambda item: item[0])
        slow.sort(key=lambda item: item[0])
        missing_bytes = self.granted_bytes + first.cost_bytes - self.bound_bytes
        keys: list[_Key] = []
        for _, key in [*stalled, *slow]:
            if missing_bytes <= 0:
                break
            missing_bytes -= self.granted[key].cost_bytes
            keys.append(key)
        return keys


class BodyGrants(Generic[_Key]):
    """Grants of bodies, in the order of their arrival.

    Parameters
    ----------
    held_bytes : int
        Bound of all that is held.
    waiting_cost_bytes : int
        What a waiting upload holds, in the process and in the kernel.

    Notes
    -----
    Uploads that make no progress give way only while others wait, the sooner the more wait.
    """

    def __init__(self, held_bytes: int, waiting_cost_bytes: int) -> None:
        self._small: _Pool[_Key] = _Pool(int(held_bytes * _SMALL_POOL_FRACTION))
        self._large: _Pool[_Key] = _Pool(int(held_bytes * _LARGE_POOL_FRACTION))
        self._max_waiting = max(4, int(held_bytes * _WAITING_FRACTION) // waiting_cost_bytes)

    def waiting(self) -> int:
        """Return the number of uploads that wait."""
        return len(self._small.waiting) + len(self._large.waiting)

    def granted_bytes(self, key: _Key) -> int:
        """Return what is reserved for an upload."""
        upload = self._small.granted.get(key) or self._large.granted.get(key)
        return 0 if upload is None else upload.cost_bytes

    def request(self, key: _Key, size_bytes: int, now_ms: int) -> GrantResult:
        """Ask for a body of at most the given size, in place of an earlier grant of the same key.

        Notes
        -----
        An upload that asks for more gives its earlier grant back, so that none waits for a grant
        while others wait for its own.
        """
        self.release(key)
        pool = self._small if size_bytes <= SMALL_BODY_BYTES else self._large
        upload = _Upload(size_bytes * _COPIES, now_ms, now_ms)
        if not pool.waiting and pool.fits(upload.cost_bytes):
            pool.grant(key, upload, now_ms)
            return GrantResult.GRANTED
        if self.waiting() >= self._max_waiting or len(pool.waiting) >= _MAX_WAITING:
            return GrantResult.REFUSED
        pool.waiting[key] = upload
        return GrantResult.WAITING

    def progress(self, key: _Key, received_bytes: int, now_ms: int) -> None:
        """Record bytes of a body."""
        upload = self._small.granted.get(key) or self._large.granted.get(key)
        if upload is not None:
            upload.progress_ms = now_ms
            upload.received_bytes += received_bytes

    def complete(self, key: _Key) -> None:
        """Record that a body has arrived; its grant is kept until it is released."""
        upload = self._small.granted.get(key) or self._large.granted.get(key)
        if upload is not None:
            upload.is_complete = True

    def release(self, key: _Key) -> None:
        """End the grant or the wait of an upload, if it has one."""
        self._small.remove(key)
        self._large.remove(key)

    def check(self, now_ms: int) -> GrantChanges[_Key]:
        """Grant what fits, and decide which uploads give way to those that wait."""
        changes: GrantChanges[_Key] = GrantChanges()
        for pool in (self._small, self._large):
            for key, upload in list(pool.waiting.items()):
                if now_ms - upload.since_ms < _MAX_WAIT_MS:
                    break
                del pool.waiting[key]
                changes.refused.append(key)
            if pool.waiting:
                for key in pool.blocking(now_ms):
                    pool.remove(key)
                    changes.stalled.append(key)
            for key, upload in list(pool.waiting.items()):
                if not pool.fits(upload.cost_bytes):
                    break
                del pool.waiting[key]
                pool.grant(key, upload, now_ms)
                changes.granted.append(key)
        return changes
