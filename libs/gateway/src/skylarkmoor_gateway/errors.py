"""Exceptions of the gateway."""

from skylarkmoor_core.errors import SkylarkmoorError

__all__ = ["MalformedRequest"]


class MalformedRequest(SkylarkmoorError):
    """A request lacks what is needed to forward it; the message says what."""
