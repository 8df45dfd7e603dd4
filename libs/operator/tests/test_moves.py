"""Guards the replay of moves against concurrent, repeated and late records."""

import pytest_twisted

from skylarkmoor_clients.logservice import LogClient, LogEntry
from skylarkmoor_core.records import MoveEnded, MoveResult, MoveStep
from skylarkmoor_operator.moves import print_moves, replay_moves


def step(number, share, predecessor, move="assistant@7", author="nadi-1"):
    return MoveStep(
        service=move.partition("@")[0],
        move=move,
        version="v2",
        step=number,
        share_percent=share,
        predecessor=predecessor,
        author=author,
    )


def ended(result, why="", move="assistant@7"):
    return MoveEnded(
        service=move.partition("@")[0],
        move=move,
        version="v2",
        result=result,
        why=why,
        author="suva-1",
    )


def replay(*records, start=0):
    entries = [LogEntry(start + i, 0, record) for i, record in enumerate(records)]
    return replay_moves(entries)


def step_offsets(state):
    return [entry.offset for entry, _ in state.steps]


def test_concurrent_and_repeated_steps_are_counted_once():
    moves = replay(step(0, 1, None), step(0, 1, None), step(1, 5, 0), step(1, 5, 0), step(2, 25, 2))
    assert step_offsets(moves["assistant@7"]) == [0, 2, 4]
    assert moves["assistant@7"].share_percent == 25


def test_moves_of_different_services_are_replayed_separately():
    moves = replay(step(0, 1, None), step(0, 1, None, move="orders@9"), step(1, 5, 0))
    assert step_offsets(moves["assistant@7"]) == [0, 2]
    assert step_offsets(moves["orders@9"]) == [1]


def test_records_after_the_first_end_are_ignored():
    moves = replay(
        step(0, 1, None),
        ended(MoveResult.UNDONE, "errors"),
        step(1, 5, 0),
        ended(MoveResult.DONE),
    )
    state = moves["assistant@7"]
    assert (step_offsets(state), state.ended[1].why, state.share_percent) == ([0], "errors", 0)


def test_undecodable_records_are_skipped():
    assert step_offsets(replay(None, step(0, 1, None), step(1, 5, 1))["assistant@7"]) == [1, 2]


def test_first_retained_step_is_accepted():
    moves = replay(step(2, 25, 3), step(3, 100, 8), start=8)
    assert step_offsets(moves["assistant@7"]) == [8, 9]


@pytest_twisted.ensureDeferred
async def test_moves_of_one_service_are_shown_with_the_reason(fake_log, log_url, capsys):
    fake_log.add("moves", step(0, 1, None))
    fake_log.add("moves", step(0, 1, None, move="orders@9"))
    fake_log.add("moves", ended(MoveResult.UNDONE, "12% errors above v1"))
    await print_moves(LogClient(log_url), "assistant")
    assert capsys.readouterr().out.splitlines() == [
        "assistant: move assistant@7 to v2: undone, 12% errors above v1; share 0%",
        "  step 0: 1% at 1970-01-01T00:00:00Z, offset 0, by nadi-1",
        "  undone at 1970-01-01T00:00:02Z, offset 2, by suva-1",
    ]


@pytest_twisted.ensureDeferred
async def test_absence_of_moves_is_printed(log_url, capsys):
    await print_moves(LogClient(log_url), None)
    assert capsys.readouterr().out == "no moves\n"
