"""Error responses and the execution outcomes that they report."""

from enum import Enum

import msgspec

__all__ = ["ErrorBody", "ErrorCode", "ErrorDetail", "Outcome"]


class Outcome(Enum):
    """Whether a request ran on an upstream.

    `UNKNOWN` is reported whenever it cannot be proved that no attempt ran.
    """

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class ErrorCode(Enum):
    """Reason for an error response."""

    MALFORMED = "malformed"
    UNKNOWN_ROUTE = "unknown_route"
    UNKNOWN_CUSTOMER = "unknown_customer"
    BODY_TOO_LARGE = "body_too_large"
    DEADLINE_PASSED = "deadline_passed"
    KEY_REQUIRED = "key_required"
    KEY_REUSED = "key_reused"
    KEY_EXPIRED = "key_expired"
    CUSTOMER_LIMIT = "customer_limit"
    OVERLOADED = "overloaded"
    QUARANTINED = "quarantined"
    LOG_UNAVAILABLE = "log_unavailable"
    DRAINING = "draining"
    NOT_READY = "not_ready"
    UPSTREAM_FAILED = "upstream_failed"
    VERSION_FAILED = "version_failed"


class ErrorDetail(msgspec.Struct, frozen=True):
    """Error code, human-readable message, outcome and request id of a failed request."""

    code: ErrorCode
    message: str
    outcome: Outcome
    request_id: str


class ErrorBody(msgspec.Struct, frozen=True):
    """The JSON body of every error response."""

    error: ErrorDetail
