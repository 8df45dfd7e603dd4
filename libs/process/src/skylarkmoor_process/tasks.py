"""Background tasks that are cancelled together."""

import logging
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from twisted.internet.defer import CancelledError, Deferred, ensureDeferred
from twisted.internet.task import LoopingCall, deferLater
from twisted.python.failure import Failure

from skylarkmoor_core.errors import PlatformError
from skylarkmoor_core.logs import part_logger

__all__ = ["Tasks"]

# Minimum pause before retrying after a failure, for instance while a platform service is down.
# Polls of the log must come at most 1 s apart.
_MIN_RETRY_PAUSE_MS = 500

_log = part_logger("daemon")


class Tasks:
    """Coroutines and periodic calls that run until `stop` is called.

    Parameters
    ----------
    reactor : reactor
        Twisted reactor that provides the timers.
    """

    def __init__(self, reactor: Any) -> None:
        self.stopped = False
        self._reactor = reactor
        self._deferreds: set[Deferred[None]] = set()
        self._looping_calls: list[LoopingCall] = []
        # The next call of each rescheduled callback.
        self._delayed_calls: dict[Callable[[], int], Any] = {}

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Start a coroutine and log the exception that it raises, if any."""
        deferred: Deferred[None] = ensureDeferred(coroutine)
        self._deferreds.add(deferred)
        deferred.addErrback(_log_failure)
        deferred.addBoth(lambda _: self._deferreds.discard(deferred))

    def every(self, interval_ms: int, callback: Callable[[], None]) -> None:
        """Call `callback` at a fixed interval; an exception is logged and the calls continue."""

        def call_and_log() -> None:
            try:
                callback()
            except Exception:
                _log.exception("periodic task failed")

        loop = LoopingCall(call_and_log)
        loop.clock = self._reactor
        self._looping_calls.append(loop)
        loop.start(interval_ms / 1000, now=False)

    def reschedule(self, first_ms: int, callback: Callable[[], int]) -> None:
        """Call `callback` again and again, each time after the milliseconds that it returned last.

        Parameters
        ----------
        first_ms : int
            Delay of the first call, and of the call after one that has raised an exception.
        """

        def call_and_log() -> None:
            delay_ms = first_ms
            try:
                delay_ms = callback()
            except Exception:
                _log.exception("periodic task failed")
            if not self.stopped:
                self._delayed_calls[callback] = self._reactor.callLater(
                    delay_ms / 1000, call_and_log
                )

        self._delayed_calls[callback] = self._reactor.callLater(first_ms / 1000, call_and_log)

    def repeat(self, pause_ms: int, action: Callable[[], Awaitable[None]]) -> None:
        """Await `action` repeatedly with a pause in between; failures are logged and retried."""
        self.spawn(self._repeat(pause_ms, action))

    async def sleep(self, delay_ms: int) -> None:
        """Wait for `delay_ms`."""
        await deferLater(self._reactor, delay_ms / 1000, lambda: None)

    def stop(self) -> None:
        """Cancel all coroutines and periodic calls."""
        self.stopped = True
        for loop in self._looping_calls:
            if loop.running:
                loop.stop()
        for delayed_call in self._delayed_calls.values():
            if delayed_call.active():
                delayed_call.cancel()
        for deferred in list(self._deferreds):
            deferred.cancel()

    async def _repeat(self, pause_ms: int, action: Callable[[], Awaitable[None]]) -> None:
        platform_failing = False
        while not self.stopped:
            wait_ms = pause_ms
            try:
                await action()
                platform_failing = False
            except PlatformError as error:
                level = logging.DEBUG if platform_failing else logging.WARNING
                _log.log(level, "platform call failed", extra={"error": str(error)})
                platform_failing = True
                wait_ms = max(pause_ms, _MIN_RETRY_PAUSE_MS)
            except CancelledError:
                if self.stopped:
                    raise
                # A call of the action was cancelled, and not the task.
                _log.exception("periodic task was interrupted")
                wait_ms = max(pause_ms, _MIN_RETRY_PAUSE_MS)
            except Exception:
                _log.exception("periodic task failed")
                wait_ms = max(pause_ms, _MIN_RETRY_PAUSE_MS)
            await self.sleep(wait_ms)


def _log_failure(failure: Failure) -> None:
    if not isinstance(failure.value, CancelledError | GeneratorExit):
        _log.error("background task failed", extra={"error": failure.getTraceback()})
