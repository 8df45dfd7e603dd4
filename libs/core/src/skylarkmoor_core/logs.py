"""Structured JSON logs with a fixed prefix for each part."""

import logging
import os
import sys
from collections import deque
from collections.abc import MutableMapping
from typing import Any, TextIO

from pythonjsonlogger.json import JsonFormatter

__all__ = ["BoundedStream", "configure_logs", "part_logger"]

# About a second of lines at the highest rate seen; a reader that is slower loses lines.
_MAX_HELD_BYTES = 1_048_576


class _PartAdapter(logging.LoggerAdapter[logging.Logger]):
    """Puts the part's prefix before each message and keeps the caller's extra fields."""

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
        A file descriptor, which is made non-blocking.
    max_bytes : int
        Bytes held for a reader that is slow. Lines beyond them are dropped and counted.
    """

    def __init__(self, descriptor: int, max_bytes: int = _MAX_HELD_BYTES) -> None:
        self.dropped = 0
        self._descriptor = descriptor
        self._max_bytes = max_bytes
        self._held: deque[bytes] = deque()
        self._held_bytes = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Write a line, or hold it until the reader takes it."""
        data = text.encode(errors="replace")
        if self._held_bytes + len(data) > self._max_bytes:
            self.dropped += 1
            return 0
        self._held.append(data)
        self._held_bytes += len(data)
        self.flush()
        return len(text)

    def flush(self) -> None:
        """Write as much of what is held as the reader takes now."""
        while self._held:
            data = self._held[0]
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more.
                self.dropped += len(self._held)
                self._held.clear()
                self._held_bytes = 0
                return
            self._held_bytes -= written
            if written < len(data):
                self._held[0] = data[written:]
                return
            self._held.popleft()


def configure_logs(level: str, stream: TextIO | BoundedStream = sys.stderr) -> None:
    """Send all log lines as JSON objects to `stream`.

    Raises
    ------
    ValueError
        If `level` is not the name of a level.
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
    return _PartAdapter(logging.getLogger(f"skylarkmoor.{part}"), {"part": part})
