"""Shares the event loop among connections, of which some send what takes long to read.

A few bytes may cost as much as many: a chunk of a single byte is parsed like one of a megabyte. A
connection whose bytes take longer than a turn stops reading from its socket, and is served in turn
with others of its kind, so that together they use a bounded part of the loop.
"""

import time
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from typing import Any, Protocol

__all__ = ["PacedReader", "ReadPacer", "WaitingReader"]

# Bytes that are parsed between two looks at the time.
_SLICE_BYTES = 4_096
# Processor time after which a connection yields, far more than a read of ordinary answers takes.
_TURN_S = 0.005
# Pause between the turns of connections that have yielded, which thus use a fifth of the loop.
_PAUSE_S = 0.02


class WaitingReader(Protocol):
    """A connection that has yielded."""

    def run(self) -> None:
        """Go on with the bytes that have arrived."""


class ReadPacer:
    """Gives turns to the connections of a process that have yielded.

    Parameters
    ----------
    reactor : reactor
        Twisted's reactor.
    processor_s : callable
        Returns the processor time that this thread has used, in seconds.
    """

    def __init__(self, reactor: Any, processor_s: Callable[[], float] = time.thread_time) -> None:
        self.processor_s = processor_s
        self._reactor = reactor
        self._waiting: deque[WaitingReader] = deque()
        self._is_scheduled = False

    def enqueue(self, reader: WaitingReader) -> None:
        """Have a reader go on after the others that wait."""
        self._waiting.append(reader)
        self._schedule()

    def withdraw(self, reader: WaitingReader) -> None:
        """Forget a reader whose connection was closed, if it waits."""
        with suppress(ValueError):
            self._waiting.remove(reader)

    def _schedule(self) -> None:
        if self._waiting and not self._is_scheduled:
            self._is_scheduled = True
            self._reactor.callLater(_PAUSE_S, self._run_next)

    def _run_next(self) -> None:
        self._is_scheduled = False
        if not self._waiting:
            return
        reader = self._waiting.popleft()
        self._schedule()
        reader.run()


class PacedReader:
    """The bytes of one connection that have arrived and are not processed yet.

    Parameters
    ----------
    pacer : ReadPacer
        Gives turns to connections that have yielded.
    consume : callable
        Processes some bytes.
    pause, resume : callable
        Called when the connection is to stop reading, and to go on.
    """

    def __init__(
        self,
        pacer: ReadPacer,
        consume: Callable[[bytes], None],
        pause: Callable[[], None],
        resume: Callable[[], None],
    ) -> None:
        self._pacer = pacer
        self._consume = consume
        self._pause = pause
        self._resume = resume
        self._pending = bytearray()
        self._on_end: Callable[[], None] | None = None
        self._is_waiting = False
        # Whether the connection has yielded before, so that all its reads wait for a turn.
        self._is_slow = False

    @property
    def has_pending(self) -> bool:
        """Whether bytes have arrived that are not processed yet."""
        return bool(self._pending)

    @property
    def is_waiting(self) -> bool:
        """Whether the connection waits for its turn."""
        return self._is_waiting

    def feed(self, data: bytes) -> None:
        """Process received bytes, now or in a later turn."""
        self._pending += data
        if self._is_slow:
            self._yield()
        elif not self._is_waiting:
            self.run()

    def end(self, on_end: Callable[[], None]) -> None:
        """Call a function when all bytes were processed."""
        if self._pending:
            self._on_end = on_end
        else:
            on_end()

    def reset(self) -> None:
        """Discard what has arrived, and treat the connection as a new one."""
        self._pending.clear()
        self._on_end = None
        self._is_slow = False

    def run(self) -> None:
        """Process bytes until there are none or the turn is over."""
        was_waiting, self._is_waiting = self._is_waiting, False
        began_s = self._pacer.processor_s()
        while self._pending:
            data = bytes(self._pending[:_SLICE_BYTES])
            del self._pending[:_SLICE_BYTES]
            self._consume(data)
            if self._pending and self._pacer.processor_s() - began_s >= _TURN_S:
                self._is_slow = True
                self._yield()
                return
        if was_waiting:
            self._resume()
        if self._on_end is not None:
            on_end, self._on_end = self._on_end, None
            on_end()

    def _yield(self) -> None:
        if not self._is_waiting:
            self._is_waiting = True
            self._pause()
            self._pacer.enqueue(self)
