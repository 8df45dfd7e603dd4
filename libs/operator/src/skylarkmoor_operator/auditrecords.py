"""Writes audit records of operator changes to the log."""

from skylarkmoor_clients.logservice import LogClient
from skylarkmoor_core.clock import Clock
from skylarkmoor_core.errors import LogRateLimited, PlatformError
from skylarkmoor_core.ids import Offset
from skylarkmoor_core.records import AuditEntry
from skylarkmoor_operator.runner import print_warning, sleep_ms

__all__ = ["AUDIT_STREAM", "append_audit_record"]

AUDIT_STREAM = "audit"
_MAX_ATTEMPTS = 5
_RETRY_DELAY_MS = 500


async def append_audit_record(
    log: LogClient,
    clock: Clock,
    *,
    who: str,
    what: str,
    before: str,
    after: str,
    stream: str = "",
    offset: Offset | None = None,
) -> None:
    """Append an audit record for a completed change.

    Parameters
    ----------
    what : str
        The kind of change and its subject, optionally followed by a colon and the reason, for
        instance ``"publish assistant: more depots"``.

    Notes
    -----
    A failure is only reported as a warning, because the change has already taken effect. The
    append is repeated only if the log is known not to have applied it.
    """
    entry = AuditEntry(
        who=who,
        what=what,
        before=before,
        after=after,
        at_ms=clock.wall_ms(),
        stream=stream,
        offset=offset,
    )
    for attempts_left in reversed(range(_MAX_ATTEMPTS)):
        try:
            await log.append(AUDIT_STREAM, entry)
        except LogRateLimited as error:
            if attempts_left:
                await sleep_ms(_RETRY_DELAY_MS)
            else:
                print_warning(f"the audit record was not written: {error}")
        except PlatformError as error:
            print_warning(f"the audit record may be missing: {error}")
            return
        else:
            return
