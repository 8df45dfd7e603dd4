"""Structured JSON logs with a fixed prefix for each part."""

import logging
import sys
from collections.abc import MutableMapping
from typing import Any, TextIO

from pythonjsonlogger.json import JsonFormatter

__all__ = ["configure_logs", "part_logger"]


class _PartAdapter(logging.LoggerAdapter[logging.Logger]):
    """Puts the part's prefix before each message and keeps the caller's extra fields."""

    def process(
        self, msg: object, kwargs: MutableMapping[str, Any]
    ) -> tuple[object, MutableMapping[str, Any]]:
        part = (self.extra or {})["part"]
        return f"{part}: {msg}", kwargs


def configure_logs(level: str, stream: TextIO = sys.stderr) -> None:
    """Send all log lines as JSON objects to `stream`.

    Raises
    ------
    ValueError
        If `level` is not the name of a level.
    """
    handler = logging.StreamHandler(stream)
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
