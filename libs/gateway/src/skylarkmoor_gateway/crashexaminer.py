"""Finds out whether an upstream has crashed under the requests whose connections broke."""

from collections.abc import Callable
from dataclasses import dataclass, field

from twisted.internet.error import ConnectionRefusedError as RefusedError
from twisted.python.failure import Failure

from skylarkmoor_core.clock import Clock
from skylarkmoor_core.ids import UpstreamId
from skylarkmoor_core.logs import part_logger
from skylarkmoor_core.messages import CrashedRequest
from skylarkmoor_gateway.tunnels import TunnelRefused
from skylarkmoor_gateway.upstreams import UpstreamConnection, UpstreamPool
from skylarkmoor_policy.crashevidence import CrashEvidenceTable
from skylarkmoor_policy.placement import Placement

__all__ = ["CrashExaminer"]

_log = part_logger("crashes")


@dataclass(slots=True)
class _Examination:
    requests: list[CrashedRequest] = field(default_factory=list)
    callbacks: list[Callable[[], None]] = field(default_factory=list)
    # Whether the first connection has failed.
    is_second: bool = False


class CrashExaminer:
    """Connects to an upstream whose connections broke, and records a crash if it refuses.

    Parameters
    ----------
    clock : Clock
        Time source.
    placement : Placement
        Known upstreams.
    evidence : CrashEvidenceTable
        Where crashes are recorded.
    pool : callable
        Returns the connection pool of an upstream, or None.
    on_crash : callable
        Called when a crash has been recorded.

    Notes
    -----
    A broken connection alone does not show a crash: the network may reset it, and a faulty upstream
    breaks off single answers. A new connection that opens is kept for the next request. If none
    opens from here, a peer is asked, because this host may have lost its path to the upstream.
    """

    def __init__(
        self,
        clock: Clock,
        placement: Placement,
        evidence: CrashEvidenceTable,
        pool: Callable[[UpstreamId], UpstreamPool | None],
        on_crash: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._placement = placement
        self._evidence = evidence
        self._pool = pool
        self._on_crash = on_crash
        self._examinations: dict[tuple[UpstreamId, int], _Examination] = {}

    def examine(
        self,
        upstream: UpstreamId,
        started_wall_ms: int,
        request: CrashedRequest,
        done: Callable[[], None],
    ) -> None:
        """Examine an upstream after it broke a request off; `done` is called exactly once.

        Parameters
        ----------
        started_wall_ms : int
            Start time of the instance that the request was sent to.
        """
        placed = self._placement.upstreams.get(upstream)
        pool = self._pool(upstream)
        # An upstream that is leaving ends without a crash.
        if pool is None or placed is None or placed.leaving:
            done()
            return
        key = (upstream, started_wall_ms)
        examination = self._examinations.get(key)
        if examination is not None:
            examination.requests.append(request)
            examination.callbacks.append(done)
            return
        self._examinations[key] = _Examination([request], [done])
        self._connect(key, pool)

    def _connect(self, key: tuple[UpstreamId, int], pool: UpstreamPool) -> None:
        pool.connect().addCallbacks(
            lambda connection: self._connected(key, pool, connection),
            lambda failure: self._not_connected(key, pool, failure),
        )

    def _connected(
        self, key: tuple[UpstreamId, int], pool: UpstreamPool, connection: UpstreamConnection
    ) -> None:
        examination = self._examinations.pop(key)
        if self._pool(key[0]) is pool:
            pool.release(connection)
        else:
            connection.abort()
        for done in examination.callbacks:
            done()

    def _not_connected(
        self, key: tuple[UpstreamId, int], pool: UpstreamPool, failure: Failure
    ) -> None:
        examination = self._examinations[key]
        # After a failure it may be one through a peer.
        other = self._pool(key[0])
        if other is not None and other is not pool and not examination.is_second:
            examination.is_second = True
            self._connect(key, other)
            return
        del self._examinations[key]
        if examination.is_second and not isinstance(failure.value, TunnelRefused):
            # Neither the upstream nor a peer is reached, which tells nothing of the upstream.
            for done in examination.callbacks:
                done()
            return
        upstream, started_wall_ms = key
        now_ms = self._clock.now_ms()
        self._placement.back_off(upstream, now_ms)
        requests = examination.requests
        if not _is_refused_by_upstream(failure.value):
            # The path to the upstream may be cut, which says less about the requests.
            requests = [CrashedRequest(each.request, False, each.parts) for each in requests]
        self._evidence.record_crash(upstream, started_wall_ms, requests, now_ms)
        _log.warning(
            "upstream crashed before it began to answer",
            extra={
                "upstream": upstream,
                "why": failure.getErrorMessage(),
                "requests": [each.request for each in requests],
                "began": [each.request for each in requests if each.began],
                "parts": [[f"{part:x}" for part in each.parts] for each in requests],
            },
        )
        self._on_crash()
        for done in examination.callbacks:
            done()


def _is_refused_by_upstream(error: BaseException | None) -> bool:
    if isinstance(error, TunnelRefused):
        return error.by_upstream
    return isinstance(error, RefusedError)
