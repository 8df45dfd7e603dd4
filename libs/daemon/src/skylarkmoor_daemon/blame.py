"""Crash blame: which requests run where, and which are suspected or refused."""

from collections.abc import Sequence

from skylarkmoor_core.clock import Clock
from skylarkmoor_core.errors import RequestRefused
from skylarkmoor_core.hashing import rendezvous_owner
from skylarkmoor_core.ids import Fingerprint, HostId, Incarnation, RequestId, UpstreamId
from skylarkmoor_core.logs import part_logger
from skylarkmoor_core.messages import Fact, FactKind
from skylarkmoor_core.outcome import ErrorCode
from skylarkmoor_daemon.shared import SharedState
from skylarkmoor_policy.quarantine import QuarantineState, SuspectTable, Suspicion
from skylarkmoor_policy.requests import AttemptEnd, AttemptResult, Request

__all__ = ["Blame"]

# A suspect waits this long before it is tried again, so that crashes that copies of it caused
# elsewhere at the same time are known by then.
_HOLD_MS = 200
# Copies of a suspect on other daemons wait for the end of that next trial. If they ran beside
# it, they could crash a third upstream.
_HOLD_COPIES_MS = 2_000
# A request that was in a crash keeps away from an upstream for this long after the next crash
# there. The attempts on it end one after the other, and a request that started there between two
# ends would be counted as in flight at a second crash. Reports are asked for each second, so one
# that has gone is known by then.
_AVOID_CRASHED_MS = 1_000

_log = part_logger("quarantine")


class Blame:
    """The suspects, and this daemon's requests in flight on each upstream.

    Parameters
    ----------
    host : str
        The daemon's host.
    shared : SharedState
        Spreads suspicions.
    clock : Clock
        Source of times.
    """

    def __init__(self, host: HostId, shared: SharedState, clock: Clock) -> None:
        self._host = host
        self._shared = shared
        self._clock = clock
        self._table = SuspectTable()
        # Until when requests that are suspected wait, on the monotonic clock.
        self._held_ms: dict[Fingerprint, int] = {}
        # Until when requests that were in a crash avoid an upstream, on the monotonic clock.
        self._avoided_ms: dict[UpstreamId, int] = {}
        # Subjects of the suspicions that this daemon reported for the last crash.
        self._reported: set[str] = set()
        self._in_flight: dict[UpstreamId, dict[RequestId, Fingerprint]] = {}

    def check(self, request: Request) -> None:
        """Refuse a quarantined request.

        Raises
        ------
        RequestRefused
            With code `quarantined`.
        """
        if self.is_quarantined(request.fingerprint):
            message = "equal requests have crashed two upstreams"
            raise RequestRefused(ErrorCode.QUARANTINED, message)

    def was_in_crash(self, fingerprint: Fingerprint) -> bool:
        """Return whether requests with `fingerprint` may not run everywhere."""
        return self._table.was_in_crash(fingerprint)

    def is_quarantined(self, fingerprint: Fingerprint) -> bool:
        """Return whether requests with `fingerprint` are refused."""
        return self._table.quarantine_state(fingerprint) is QuarantineState.QUARANTINED

    def is_blocked(
        self, request: Request, upstream: UpstreamId, usable: Sequence[UpstreamId]
    ) -> bool:
        """Return whether a request must not go to an upstream now.

        Parameters
        ----------
        usable : sequence of UpstreamId
            Upstreams that could run the request.
        """
        if not self.was_in_crash(request.fingerprint):
            return False
        now_ms = self._clock.now_ms()
        # This holds for a request that is clear because its crash is explained, too.
        if self._avoided_ms.get(upstream, 0) > now_ms:
            return True
        if self._table.quarantine_state(request.fingerprint) is QuarantineState.CLEAR:
            return False
        if self._held_ms.get(request.fingerprint, 0) > now_ms:
            return True
        copies = sum(
            fingerprint == request.fingerprint
            for requests in self._in_flight.values()
            for fingerprint in requests.values()
        )
        return not self._table.may_run(
            request.fingerprint,
            upstream,
            self._in_flight.get(upstream, {}).values(),
            running_copies=copies,
            usable=usable,
        )

    def started(self, request: Request, upstream: UpstreamId) -> None:
        """Note that a request runs on an upstream."""
        self._in_flight.setdefault(upstream, {})[request.request] = request.fingerprint

    def ended(self, request: Request, end: AttemptEnd, incarnation: Incarnation | None) -> None:
        """Take an attempt's end; a crash is told to all peers at once."""
        in_flight = self._in_flight.get(end.upstream, {})
        match end.result:
            case AttemptResult.CRASHED:
                suspects = [*in_flight.values(), request.fingerprint]
                self._crashed(end.upstream, incarnation or Incarnation(0), suspects)
            case AttemptResult.COMPLETED:
                facts = self._table.record_completion(request.fingerprint, self._clock.wall_ms())
                self._shared.put_all(facts)
        in_flight.pop(request.request, None)

    def apply(self, facts: Sequence[Fact]) -> None:
        """Take facts that are new on this daemon."""
        self._table.apply(facts)

    def heard(self, sender: HostId, facts: Sequence[Fact]) -> None:
        """Take what a peer has sent, before it is merged.

        Notes
        -----
        When several daemons report the same crash, the first of them in rendezvous order goes
        on and the copies at the others wait.
        """
        for fact in facts:
            if fact.kind is FactKind.SUSPECT:
                self._hold(sender, fact)

    def expire(self) -> None:
        """Forget old suspicions."""
        now_ms = self._clock.now_ms()
        self._held_ms = {
            fingerprint: until_ms
            for fingerprint, until_ms in self._held_ms.items()
            if until_ms > now_ms
        }
        self._avoided_ms = {
            upstream: until_ms
            for upstream, until_ms in self._avoided_ms.items()
            if until_ms > now_ms
        }
        self._table.expire(self._clock.wall_ms())

    def _crashed(
        self, upstream: UpstreamId, incarnation: Incarnation, suspects: Sequence[Fingerprint]
    ) -> None:
        self._avoided_ms[upstream] = self._clock.now_ms() + _AVOID_CRASHED_MS
        facts = self._table.record_crash(upstream, incarnation, suspects, self._clock.wall_ms())
        if facts:
            extra = {"upstream": upstream, "incarnation": incarnation, "suspects": len(facts)}
            until_ms = self._clock.now_ms() + _HOLD_MS
            for fingerprint in suspects:
                self._held_ms.setdefault(fingerprint, until_ms)
            self._reported = {fact.subject for fact in facts}
            _log.warning("an upstream crashed", extra=extra)
            self._shared.put_all(facts, at_once=True)

    def _hold(self, sender: HostId, fact: Fact) -> None:
        try:
            suspicion = Suspicion.from_subject(fact.subject)
        except ValueError:
            return
        if self._clock.wall_ms() - fact.value[0] >= _HOLD_COPIES_MS:
            # Old facts come again in digest exchanges.
            return
        self._avoided_ms[suspicion.upstream] = self._clock.now_ms() + _AVOID_CRASHED_MS
        own = fact.subject in self._reported
        if own and rendezvous_owner(fact.subject, (self._host, sender)) == self._host:
            return
        until_ms = self._clock.now_ms() + _HOLD_COPIES_MS
        self._held_ms[suspicion.fingerprint] = until_ms
