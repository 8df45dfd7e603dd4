"""Guards the measured moves against figures that vary and against unlike versions."""

import pytest

from skylarkmoor_core.records import MoveResult
from skylarkmoor_measure.movereport import move_figures, run_moves
from skylarkmoor_measure.moves import KINDS, MoveLog, run_move

SEED = 3
ERRORS = next(kind for kind in KINDS if kind.name == "errors at once")
GOOD = KINDS[0]


def test_same_seed_gives_same_figures_with_any_number_of_processes():
    def run(jobs):
        return run_moves([SEED], jobs, kinds=[ERRORS], rates=[40])

    assert run(1) == run(2)


@pytest.mark.parametrize(
    ("policy", "result"),
    [("skylarkmoor", "UNDONE"), ("all at once", "DONE"), ("fixed 10%", "DONE")],
)
def test_only_the_baselines_finish_a_version_that_fails(policy, result):
    log = run_move(SEED, ERRORS, policy, 40)
    assert log.result is MoveResult[result]
    assert log.hurt


def test_requests_hurt_after_the_stop_count_against_the_target():
    log = MoveLog(result=MoveResult.UNDONE, hurt={f"r{i}" for i in range(50)}, hurt_before=10)
    assert not move_figures(ERRORS, 40, "skylarkmoor", [log]).met


def test_good_version_done_late_misses_the_target():
    log = MoveLog(result=MoveResult.DONE, in_time=False)
    assert not move_figures(GOOD, 40, "skylarkmoor", [log]).met
