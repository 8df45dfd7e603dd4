"""Exceptions of the gateway."""

from skylarkmoor_core.errors import SkylarkmoorError

__all__ = ["MalformedRequest"]


class MalformedRequest(SkylarkmoorError):
    """A request cannot be forwarded; the message names the missing or invalid part."""
