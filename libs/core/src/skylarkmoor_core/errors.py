"""Exceptions of skylarkmoor."""

from skylarkmoor_core.outcome import ErrorCode, Outcome

__all__ = [
    "DocumentError",
    "LogOutage",
    "LogRateLimited",
    "MessageError",
    "PlatformError",
    "RequestRefused",
    "SettingsError",
    "SkylarkmoorError",
    "UpstreamError",
]


class SkylarkmoorError(Exception):
    """Base of all exceptions of skylarkmoor."""


class SettingsError(SkylarkmoorError):
    """A setting is missing or invalid."""


class DocumentError(SkylarkmoorError):
    """A service document is invalid; the message starts with the path of the field."""


class MessageError(SkylarkmoorError):
    """Bytes from a peer do not form a valid message."""


class PlatformError(SkylarkmoorError):
    """A platform service failed or returned an invalid response."""


class LogOutage(PlatformError):
    """The log did not respond; an append may or may not have taken effect."""


class LogRateLimited(PlatformError):
    """The log rejected an append because of its rate limit; the append took no effect."""


class UpstreamError(SkylarkmoorError):
    """A request to an upstream failed.

    Parameters
    ----------
    message : str
        Cause of the failure.
    sent : bool
        Whether any part of the request may have reached the upstream.
    """

    def __init__(self, message: str, *, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


class RequestRefused(SkylarkmoorError):
    """A request is rejected or ended with an error response.

    Parameters
    ----------
    code : ErrorCode
        Reason for the response.
    message : str
        Error message for the caller.
    outcome : Outcome
        Whether the request ran.
    retry_after_ms : int, optional
        Time after which the caller may retry.
    """

    def __init__(
        self,
        code: ErrorCode,
        message: str,
        outcome: Outcome = Outcome.NOT_RUN,
        retry_after_ms: int | None = None,
    ) -> None:
        super().__init__(message)
        self.code = code
        self.message = message
        self.outcome = outcome
        self.retry_after_ms = retry_after_ms
