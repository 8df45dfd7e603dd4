"""Model of a plain service: calls with a service time and a limited number at a time."""

import random
from collections import deque
from dataclasses import dataclass
from enum import Enum
from typing import Any

import msgspec

from skylarkmoor_core.hashing import hash64
from skylarkmoor_standins.faults import Count, Share
from skylarkmoor_standins.refusals import Leaving

__all__ = [
    "CallEnd",
    "CallRecord",
    "PlainFaults",
    "PlainModel",
    "body_text",
]


class PlainFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Fault switches of a plain service.

    Attributes
    ----------
    crash_on : str
        The process exits at once when a call starts whose body contains this text.
    delay_ms : int
        Every answer is late by this time; the call runs at once.
    error_rate : float
        Share of the calls that run and are answered with 500.
    lost_answers : int
        The next calls that run and are not answered.
    capacity : int, optional
        Replaces the number of calls that run at a time; the others wait.
    leaving : bool
        New calls are refused and run nothing.
    """

    crash_on: str = ""
    delay_ms: Count = 0
    error_rate: Share = 0.0
    lost_answers: Count = 0
    capacity: Count | None = None
    leaving: bool = False


class CallEnd(Enum):
    """How a call ended."""

    RUNNING = "running"
    DONE = "done"
    ERROR = "error"
    LOST = "lost"
    CRASH = "crash"


class CallRecord(msgspec.Struct):
    """A call that was run; `at_ms` is the time of its start."""

    call: int
    attempt: str
    route: str
    body_hash: int
    at_ms: int
    end: CallEnd = CallEnd.RUNNING


@dataclass(slots=True)
class _Waiting:
    call: int
    attempt: str
    route: str
    text: str


def body_text(body: Any) -> str:
    """Return the text of a body; bodies that are not text are taken as JSON with sorted keys."""
    if isinstance(body, str):
        return body
    return msgspec.json.encode(body, order="sorted").decode()


class PlainModel:
    """Calls that run for a fixed time, at most `capacity` of them at a time.

    Parameters
    ----------
    service_ms : int
        Time that each call takes.
    capacity : int
        Calls that run at a time.
    rng : random.Random
        Decides which calls fail.
    """

    def __init__(self, service_ms: int, capacity: int, rng: random.Random) -> None:
        self.faults = PlainFaults()
        self.calls: list[CallRecord] = []
        self._service_ms = service_ms
        self._capacity = capacity
        self._rng = rng
        self._waiting: deque[_Waiting] = deque()
        self._running: deque[tuple[int, CallRecord]] = deque()
        self._arrived = 0

    @property
    def capacity(self) -> int:
        """Calls that may run at a time."""
        return self._capacity if self.faults.capacity is None else self.faults.capacity

    @property
    def running(self) -> int:
        """Calls that run now."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Calls that wait now."""
        return len(self._waiting)

    def arrive(self, attempt: str, route: str, body: Any) -> int:
        """Put a call in line and return its number.

        Raises
        ------
        Leaving
            If the service takes no new work.
        """
        if self.faults.leaving:
            raise Leaving("the service is leaving")
        self._arrived += 1
        self._waiting.append(_Waiting(self._arrived, attempt, route, body_text(body)))
        return self._arrived

    def abandon(self, call: int) -> None:
        """Drop a waiting call whose caller has gone; a running call goes on."""
        self._waiting = deque(entry for entry in self._waiting if entry.call != call)

    def advance(self, now_ms: int) -> list[CallRecord]:
        """End calls whose time is over, start waiting ones and return the ended ones.

        A call on which the service crashes is returned at its start, with end `CRASH`.
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

    def next_ms(self) -> int | None:
        """Return the time of the next end, or None if nothing runs."""
        return self._running[0][0] if self._running else None

    def _start(self, now_ms: int) -> list[CallRecord]:
        entry = self._waiting.popleft()
        record = CallRecord(entry.call, entry.attempt, entry.route, hash64(entry.text), now_ms)
        self.calls.append(record)
        if self.faults.crash_on and self.faults.crash_on in entry.text:
            record.end = CallEnd.CRASH
            return [record]
        self._running.append((now_ms + self._service_ms, record))
        return []

    def _finish(self) -> CallRecord:
        _, record = self._running.popleft()
        if self.faults.lost_answers > 0:
            left = self.faults.lost_answers - 1
            self.faults = msgspec.structs.replace(self.faults, lost_answers=left)
            record.end = CallEnd.LOST
        elif self._rng.random() < self.faults.error_rate:
            record.end = CallEnd.ERROR
        else:
            record.end = CallEnd.DONE
        return record
