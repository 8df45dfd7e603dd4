"""Model of a plain upstream with a fixed service time and limited concurrency."""

import random
from collections import deque
from dataclasses import dataclass
from enum import Enum
from typing import Any

import msgspec

from skylarkmoor_core.hashing import hash64
from skylarkmoor_standins.errors import UpstreamLeaving
from skylarkmoor_standins.fault_settings import NonNegativeInt, UnitFraction

__all__ = [
    "CallOutcome",
    "CallRecord",
    "PlainFaults",
    "PlainModel",
    "body_text",
]


class PlainFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults that a plain service injects.

    Attributes
    ----------
    crash_on : str
        The process exits when a call whose body contains this text starts.
    delay_ms : int
        Delay of every answer; the calls themselves are not delayed.
    error_rate : float
        Fraction of the calls that run and are answered with 500.
    lost_answers : int
        Number of following calls that run but get no answer.
    capacity : int, optional
        Overrides the maximum number of concurrent calls; further calls wait.
    leaving : bool
        New calls are refused and do not run.
    """

    crash_on: str = ""
    delay_ms: NonNegativeInt = 0
    error_rate: UnitFraction = 0.0
    lost_answers: NonNegativeInt = 0
    capacity: NonNegativeInt | None = None
    leaving: bool = False


class CallOutcome(Enum):
    """State of a recorded call: running, or how it ended."""

    RUNNING = "running"
    DONE = "done"
    ERROR = "error"
    LOST = "lost"
    CRASH = "crash"


class CallRecord(msgspec.Struct):
    """Record of a call that has started; `at_ms` is its start time."""

    call: int
    attempt: str
    route: str
    body_hash: int
    at_ms: int
    end: CallOutcome = CallOutcome.RUNNING


@dataclass(slots=True)
class _QueuedCall:
    call: int
    attempt: str
    route: str
    text: str


def body_text(body: Any) -> str:
    """Return a body as text; a body other than a string is encoded as JSON with sorted keys."""
    if isinstance(body, str):
        return body
    return msgspec.json.encode(body, order="sorted").decode()


class PlainModel:
    """First-come, first-served queue of calls with a fixed service time and limited concurrency.

    Parameters
    ----------
    service_ms : int
        Duration of each call.
    capacity : int
        Maximum number of concurrent calls.
    rng : random.Random
        Selects the calls that fail.
    """

    def __init__(self, service_ms: int, capacity: int, rng: random.Random) -> None:
        self.faults = PlainFaults()
        self.calls: list[CallRecord] = []
        self._service_ms = service_ms
        self._capacity = capacity
        self._rng = rng
        self._waiting: deque[_QueuedCall] = deque()
        self._running: deque[tuple[int, CallRecord]] = deque()
        self._arrival_count = 0

    @property
    def capacity(self) -> int:
        """Maximum number of concurrent calls."""
        return self._capacity if self.faults.capacity is None else self.faults.capacity

    @property
    def running(self) -> int:
        """Number of running calls."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Number of queued calls."""
        return len(self._waiting)

    def enqueue(self, attempt: str, route: str, body: Any) -> int:
        """Queue a call and return its number.

        Raises
        ------
        UpstreamLeaving
            If the service accepts no new calls.
        """
        if self.faults.leaving:
            raise UpstreamLeaving("the service is leaving")
        self._arrival_count += 1
        self._waiting.append(_QueuedCall(self._arrival_count, attempt, route, body_text(body)))
        return self._arrival_count

    def abandon(self, call: int) -> None:
        """Drop a queued call whose caller has disconnected; a running call continues."""
        self._waiting = deque(
            queued_call for queued_call in self._waiting if queued_call.call != call
        )

    def advance(self, now_ms: int) -> list[CallRecord]:
        """Finish due calls, start queued ones and return the calls that ended.

        A call that triggers the crash fault is returned at its start, with end `CRASH`.
        """
        ended: list[CallRecord] = []
        while True:
            finished = self._running and self._running[0][0] <= now_ms
            if finished:
                ended.append(self._finish())
            elif self._waiting and self.running < self.capacity:
                ended.extend(self._start(now_ms))
            else:
                return ended

    def next_event_ms(self) -> int | None:
        """Return the time at which the next call ends, or None if no call is running."""
        return self._running[0][0] if self._running else None

    def _start(self, now_ms: int) -> list[CallRecord]:
        queued_call = self._waiting.popleft()
        record = CallRecord(
            queued_call.call,
            queued_call.attempt,
            queued_call.route,
            hash64(queued_call.text),
            now_ms,
        )
        self.calls.append(record)
        if self.faults.crash_on and self.faults.crash_on in queued_call.text:
            record.end = CallOutcome.CRASH
            return [record]
        self._running.append((now_ms + self._service_ms, record))
        return []

    def _finish(self) -> CallRecord:
        _, record = self._running.popleft()
        if self.faults.lost_answers > 0:
            remaining = self.faults.lost_answers - 1
            self.faults = msgspec.structs.replace(self.faults, lost_answers=remaining)
            record.end = CallOutcome.LOST
        elif self._rng.random() < self.faults.error_rate:
            record.end = CallOutcome.ERROR
        else:
            record.end = CallOutcome.DONE
        return record
