"""Formats times and untrusted log values for the terminal."""

from datetime import UTC, datetime

__all__ = ["escape_unprintable", "format_utc_time"]


def format_utc_time(at_ms: int) -> str:
    """Format epoch milliseconds as an ISO 8601 UTC time, truncated to seconds.

    Examples
    --------
    >>> format_utc_time(0)
    '1970-01-01T00:00:00Z'
    """
    return datetime.fromtimestamp(at_ms / 1000, UTC).strftime("%Y-%m-%dT%H:%M:%SZ")


def escape_unprintable(text: str) -> str:
    r"""Return `text` with control characters escaped, so that it cannot control a terminal.

    Examples
    --------
    >>> escape_unprintable("a\x1b[2J")
    'a\\x1b[2J'
    """
    return "".join(
        char if char.isprintable() else char.encode("unicode_escape").decode() for char in text
    )
