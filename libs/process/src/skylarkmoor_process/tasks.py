"""Coroutines and repeated work that end together."""

import logging
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from twisted.internet.defer import CancelledError, Deferred, ensureDeferred
from twisted.internet.task import LoopingCall, deferLater
from twisted.python.failure import Failure

from skylarkmoor_core.errors import PlatformError
from skylarkmoor_core.logs import part_logger

__all__ = ["Tasks"]

# A service of the platform that is down is asked again after this time. Polls of the log must
# come at most 1 s apart.
_PLATFORM_RETRY_MS = 500

_log = part_logger("daemon")


class Tasks:
    """Work that runs until `stop` is called.

    Parameters
    ----------
    reactor : reactor
        Source of timers.
    """

    def __init__(self, reactor: Any) -> None:
        self.stopped = False
        self._reactor = reactor
        self._running: set[Deferred[None]] = set()
        self._loops: list[LoopingCall] = []

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine and log what it raises."""
        running: Deferred[None] = ensureDeferred(work)
        self._running.add(running)
        running.addErrback(_report)
        running.addBoth(lambda _: self._running.discard(running))

    def every(self, interval_ms: int, work: Callable[[], None]) -> None:
        """Call `work` at a fixed interval; an exception is logged and the calls go on."""

        def guarded() -> None:
            try:
                work()
            except Exception:
                _log.exception("repeated work failed")

        loop = LoopingCall(guarded)
        loop.clock = self._reactor
        self._loops.append(loop)
        loop.start(interval_ms / 1000, now=False)

    def repeat(self, pause_ms: int, work: Callable[[], Awaitable[None]]) -> None:
        """Await `work` again and again with a pause between; the platform may fail."""
        self.spawn(self._repeat(pause_ms, work))

    async def sleep(self, delay_ms: int) -> None:
        """Wait for `delay_ms`."""
        await deferLater(self._reactor, delay_ms / 1000, lambda: None)

    def stop(self) -> None:
        """Cancel everything."""
        self.stopped = True
        for loop in self._loops:
            if loop.running:
                loop.stop()
        for running in list(self._running):
            running.cancel()

    async def _repeat(self, pause_ms: int, work: Callable[[], Awaitable[None]]) -> None:
        failing = False
        while not self.stopped:
            wait_ms = pause_ms
            try:
                await work()
                failing = False
            except PlatformError as error:
                level = logging.DEBUG if failing else logging.WARNING
                _log.log(level, "the platform failed", extra={"error": str(error)})
                failing = True
                wait_ms = max(pause_ms, _PLATFORM_RETRY_MS)
            except CancelledError:
                raise
            except Exception:
                _log.exception("repeated work failed")
                wait_ms = max(pause_ms, _PLATFORM_RETRY_MS)
            await self.sleep(wait_ms)


def _report(failure: Failure) -> None:
    if not isinstance(failure.value, CancelledError | GeneratorExit):
        _log.error("a task failed", extra={"error": failure.getTraceback()})
