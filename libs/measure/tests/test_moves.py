"""Guards against irreproducible move figures and against targets met by wrong counts."""

import pytest

from skylarkmoor_core.records import MoveResult
from skylarkmoor_measure.movereport import move_figures, run_moves
from skylarkmoor_measure.moves import KINDS, MoveLog, run_move

SEED = 3
ERRORS_AT_ONCE = next(kind for kind in KINDS if kind.name == "errors at once")
GOOD = KINDS[0]


def test_same_seed_gives_same_figures_with_any_number_of_processes():
    def run(jobs):
        return run_moves([SEED], jobs, kinds=[ERRORS_AT_ONCE], rates=[40])

    assert run(1) == run(2)


@pytest.mark.parametrize(
    ("policy", "result"),
    [("skylarkmoor", "UNDONE"), ("all at once", "DONE"), ("fixed 10%", "DONE")],
)
def test_only_the_baselines_complete_a_move_to_a_failing_version(policy, result):
    log = run_move(SEED, ERRORS_AT_ONCE, policy, 40)
    assert log.result is MoveResult[result]
    assert log.affected


def test_requests_affected_after_the_stop_count_against_the_target():
    log = MoveLog(
        result=MoveResult.UNDONE, affected={f"r{i}" for i in range(50)}, affected_before_stop=10
    )
    assert not move_figures(ERRORS_AT_ONCE, 40, "skylarkmoor", [log]).met


def test_good_version_completed_after_the_deadline_misses_the_target():
    log = MoveLog(result=MoveResult.DONE, met_deadline=False)
    assert not move_figures(GOOD, 40, "skylarkmoor", [log]).met
