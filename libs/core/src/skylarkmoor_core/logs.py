"""Structured JSON logs with a message prefix for each component."""

import logging
import os
import sys
from collections import deque
from collections.abc import MutableMapping
from typing import Any, TextIO

from pythonjsonlogger.json import JsonFormatter

__all__ = ["BoundedStream", "configure_logs", "part_logger"]

# About one second of log lines at peak rate; a slower reader loses lines.
_MAX_BUFFERED_BYTES = 1_048_576


class _PrefixAdapter(logging.LoggerAdapter[logging.Logger]):
    """Prefixes each message with the component's name and keeps the caller's extra fields."""

    def process(
        self, msg: object, kwargs: MutableMapping[str, Any]
    ) -> tuple[object, MutableMapping[str, Any]]:
        part = (self.extra or {})["part"]
        return f"{part}: {msg}", kwargs


class BoundedStream:
    """A text stream that never blocks its writer.

    Parameters
    ----------
    descriptor : int
        File descriptor, which is set to non-blocking mode.
    max_bytes : int
        Maximum number of bytes buffered for a slow reader. Lines beyond it are dropped and
        counted in `dropped`.
    """

    def __init__(self, descriptor: int, max_bytes: int = _MAX_BUFFERED_BYTES) -> None:
        self.dropped = 0
        self._descriptor = descriptor
        self._max_bytes = max_bytes
        self._buffer: deque[bytes] = deque()
        self._buffered_bytes = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Write a line, buffering what would block; drop it if the buffer is full."""
        data = text.encode(errors="replace")
        if self._buffered_bytes + len(data) > self._max_bytes:
            self.dropped += 1
            return 0
        self._buffer.append(data)
        self._buffered_bytes += len(data)
        self.flush()
        return len(text)

    def flush(self) -> None:
        """Write as much of the buffer as possible without blocking."""
        while self._buffer:
            data = self._buffer[0]
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # The descriptor is no longer writable, for instance because the reader closed it.
                self.dropped += len(self._buffer)
                self._buffer.clear()
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= written
            if written < len(data):
                self._buffer[0] = data[written:]
                return
            self._buffer.popleft()


def configure_logs(level: str, stream: TextIO | BoundedStream = sys.stderr) -> None:
    """Configure the root logger to write JSON lines to `stream`.

    Raises
    ------
    ValueError
        If `level` is not the name of a logging level.
    """
    handler: logging.StreamHandler[Any] = logging.StreamHandler(stream)
    handler.setFormatter(
        JsonFormatter(
            ["asctime", "levelname", "message"],
            rename_fields={"asctime": "time", "levelname": "level"},
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())


def part_logger(part: str) -> logging.LoggerAdapter[logging.Logger]:
    """Return a logger whose messages start with ``"part: "``."""
    return _PrefixAdapter(logging.getLogger(f"skylarkmoor.{part}"), {"part": part})
