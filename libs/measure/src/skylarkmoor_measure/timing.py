"""Measurement of processor time and retained memory."""

import gc
import time
import tracemalloc
from collections.abc import Callable
from typing import TypeVar

__all__ = ["Stopwatch", "cpu_us", "kept_bytes"]

_REPEATS = 5
_T = TypeVar("_T")


def cpu_us(prepare: Callable[[], Callable[[], object]], repeats: int = _REPEATS) -> float:
    """Return the least processor time of a callable in microseconds.

    Parameters
    ----------
    prepare : callable
        Returns the callable to time, with fresh state; not included in the time.
    repeats : int
        Number of timed runs.

    Notes
    -----
    The minimum is used because interference from other processes only adds time.
    """
    times_ns = []
    for _ in range(repeats):
        work = prepare()
        gc.collect()
        start_ns = time.thread_time_ns()
        work()
        times_ns.append(time.thread_time_ns() - start_ns)
    return min(times_ns) / 1_000


def kept_bytes(build: Callable[[], object]) -> int:
    """Return the bytes still allocated for the result of `build` after garbage collection."""
    gc.collect()
    tracemalloc.start()
    try:
        bytes_before = tracemalloc.get_traced_memory()[0]
        retained = build()
        gc.collect()
        bytes_after = tracemalloc.get_traced_memory()[0]
        del retained
    finally:
        tracemalloc.stop()
    return bytes_after - bytes_before


class Stopwatch:
    """Accumulates the processor time of many short calls."""

    def __init__(self) -> None:
        self.calls = 0
        self.total_ns = 0

    def time(self, work: Callable[[], _T]) -> _T:
        """Call `work`, add its processor time to the total and return its result."""
        start_ns = time.thread_time_ns()
        result = work()
        self.total_ns += time.thread_time_ns() - start_ns
        self.calls += 1
        return result

    @property
    def mean_us(self) -> float:
        """Mean processor time of a call in microseconds."""
        return self.total_ns / 1_000 / max(1, self.calls)
