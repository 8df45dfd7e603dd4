"""Replays and prints the state of each move of a service to a new version."""

from collections.abc import Iterable
from dataclasses import dataclass, field

import click

from skylarkmoor_clients.logservice import LogClient, LogEntry
from skylarkmoor_core.ids import MoveId, Offset, ServiceName
from skylarkmoor_core.records import MoveEnded, MoveStep
from skylarkmoor_operator.formatting import escape_unprintable, format_utc_time
from skylarkmoor_operator.history import read_to_end
from skylarkmoor_operator.runner import ExitCode

__all__ = ["MOVES_STREAM", "MoveState", "replay_moves", "print_moves"]

MOVES_STREAM = "moves"


@dataclass(slots=True)
class MoveState:
    """The accepted steps of a move and how it ended.

    Attributes
    ----------
    steps : list of LogEntry
        Log entries and records of the accepted steps.
    ended : LogEntry or None
        Log entry and record of the first `MoveEnded`; None while the move is running.
    """

    steps: list[tuple[LogEntry, MoveStep]] = field(default_factory=list)
    ended: tuple[LogEntry, MoveEnded] | None = None

    @property
    def last_step_offset(self) -> Offset | None:
        """Offset of the last accepted step."""
        return self.steps[-1][0].offset if self.steps else None

    @property
    def share_percent(self) -> int:
        """Percentage of the traffic that goes to the new version."""
        if self.ended is not None:
            return 100 if self.ended[1].result.value == "done" else 0
        return self.steps[-1][1].share_percent if self.steps else 0


def replay_moves(entries: Iterable[LogEntry]) -> dict[MoveId, MoveState]:
    """Return the state of each move after `entries`, which are in log order.

    Notes
    -----
    A step is accepted only if its predecessor is the last accepted step of its move, and only
    the first `MoveEnded` of a move is used, so all readers accept the same ones of concurrent or
    repeated records. A first step whose predecessor is older than the log's first record is
    accepted, because the log no longer retains that predecessor.
    """
    moves: dict[MoveId, MoveState] = {}
    first: Offset | None = None
    for entry in entries:
        first = entry.offset if first is None else first
        record = entry.record
        if not isinstance(record, MoveStep | MoveEnded):
            continue
        state = moves.get(record.move, MoveState())
        if state.ended is not None:
            continue
        if isinstance(record, MoveEnded):
            state.ended = (entry, record)
        elif _is_next_step(state, record.predecessor, first):
            state.steps.append((entry, record))
        else:
            continue
        moves[record.move] = state
    return moves


async def print_moves(log: LogClient, service: ServiceName | None) -> ExitCode:
    """Print the state of each move, or of the moves of one service.

    Raises
    ------
    PlatformError
        If the log does not respond.
    """
    entries = [entry async for entry in read_to_end(log, MOVES_STREAM)]
    printed_count = 0
    for move, state in replay_moves(entries).items():
        records = [step for _, step in state.steps] + ([state.ended[1]] if state.ended else [])
        if service is None or records[0].service == service:
            _print_move(move, state, records[0])
            printed_count += 1
    if printed_count == 0:
        click.echo("no moves" if service is None else f"no moves of service {service}")
    return ExitCode.SUCCESS


def _is_next_step(state: MoveState, predecessor: Offset | None, first: Offset) -> bool:
    if predecessor == state.last_step_offset:
        return True
    return not state.steps and predecessor is not None and predecessor < first


def _print_move(move: MoveId, state: MoveState, record: MoveStep | MoveEnded) -> None:
    if state.ended is None:
        result = "running"
    else:
        why = escape_unprintable(state.ended[1].why)
        result = state.ended[1].result.value + (f", {why}" if why else "")
    click.echo(
        f"{record.service}: move {escape_unprintable(move)} "
        f"to {escape_unprintable(record.version)}: {result}; share {state.share_percent}%"
    )
    for entry, step in state.steps:
        click.echo(
            f"  step {step.step}: {step.share_percent}% at {format_utc_time(entry.at_ms)}, "
            f"offset {entry.offset}, by {escape_unprintable(step.author)}"
        )
    if state.ended is not None:
        entry, end = state.ended
        click.echo(
            f"  {end.result.value} at {format_utc_time(entry.at_ms)}, offset {entry.offset}, "
            f"by {escape_unprintable(end.author)}"
        )
