"""Writes the audit records of changes."""

from skylarkmoor_clients.logservice import LogClient
from skylarkmoor_core.clock import Clock
from skylarkmoor_core.errors import LogRateLimited, PlatformError
from skylarkmoor_core.ids import Offset
from skylarkmoor_core.records import AuditEntry
from skylarkmoor_operator.runner import pause, warn

__all__ = ["AUDIT_STREAM", "write_audit"]

AUDIT_STREAM = "audit"
_TRIES = 5
_PAUSE_MS = 500


async def write_audit(
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
    """Append an audit record of a change that has been made.

    Parameters
    ----------
    what : str
        The kind of change and its subject, then optionally a colon and the reason, for
        instance ``"publish assistant: more depots"``.

    Notes
    -----
    A failure is only a warning, since the change itself has been made. The append is repeated
    only when the log certainly did not apply it.
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
    for left in reversed(range(_TRIES)):
        try:
            await log.append(AUDIT_STREAM, entry)
        except LogRateLimited as error:
            if left:
                await pause(_PAUSE_MS)
            else:
                warn(f"the audit record was not written: {error}")
        except PlatformError as error:
            warn(f"the audit record may be missing: {error}")
            return
        else:
            return
