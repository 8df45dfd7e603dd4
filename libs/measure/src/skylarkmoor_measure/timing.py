"""Processor time and memory of a piece of work."""

import gc
import time
import tracemalloc
from collections.abc import Callable
from typing import TypeVar

__all__ = ["Stopwatch", "cpu_us", "kept_bytes"]

_REPEATS = 5
_T = TypeVar("_T")


def cpu_us(prepare: Callable[[], Callable[[], object]], repeats: int = _REPEATS) -> float:
    """Return the processor time of some work in microseconds.

    Parameters
    ----------
    prepare : callable
        Returns the work to time, with fresh state; it is not timed itself.
    repeats : int
        Number of times the work is done.

    Notes
    -----
    The least of all times counts, because other work on the machine only ever adds to it.
    """
    times = []
    for _ in range(repeats):
        work = prepare()
        gc.collect()
        start_ns = time.thread_time_ns()
        work()
        times.append(time.thread_time_ns() - start_ns)
    return min(times) / 1_000


def kept_bytes(build: Callable[[], object]) -> int:
    """Return the memory that the result of `build` takes."""
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        kept = build()
        gc.collect()
        after = tracemalloc.get_traced_memory()[0]
        del kept
    finally:
        tracemalloc.stop()
    return after - before


class Stopwatch:
    """Sums the processor time of many short pieces of work."""

    def __init__(self) -> None:
        self.calls = 0
        self.total_ns = 0

    def time(self, work: Callable[[], _T]) -> _T:
        """Do some work, add its time and return its result."""
        start_ns = time.thread_time_ns()
        result = work()
        self.total_ns += time.thread_time_ns() - start_ns
        self.calls += 1
        return result

    @property
    def mean_us(self) -> float:
        """Mean time of a piece of work in microseconds."""
        return self.total_ns / 1_000 / max(1, self.calls)
