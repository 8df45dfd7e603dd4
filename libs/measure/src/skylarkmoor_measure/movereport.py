"""Figures of simulated version moves, and their rendering as a table."""

from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor

import msgspec

from skylarkmoor_core.records import MoveResult
from skylarkmoor_measure.moves import KINDS, MOVE_POLICIES, RATES, MoveKind, MoveLog, run_move
from skylarkmoor_measure.session import START_MS

__all__ = ["MAX_HURT", "MoveFigures", "move_figures", "render_moves", "run_moves"]

# Target: a bad version fails or slows down fewer requests than this.
MAX_HURT = 50
# With fewer requests, the observed share is too noisy to compare with the published one.
_MIN_SHARE_REQUESTS = 400


class MoveFigures(msgspec.Struct, frozen=True):
    """Figures of one kind of version, rate and policy, as the worst case over all seeds.

    Attributes
    ----------
    done, undone : int
        Runs whose move was completed or rolled back. For a good version, `done` counts only moves
        that ended by their deadline.
    hurt, hurt_before : int
        Requests that the version failed or slowed down, in total and before its stop.
    over_share_points : float
        Largest excess of the observed over the published share, in percentage points.
    stop_ms : float, optional
        Longest time from the first affected request until the last daemon learned of the stop.
    late : int
        Attempts dispatched to the version more than a gossip round and a network delay after its
        stop was first known.
    ended_ms : float
        Latest end of a move in ms since the start of the run.
    """

    kind: str
    bad: bool
    requests_per_s: int
    policy: str
    runs: int
    done: int
    undone: int
    hurt: int
    hurt_before: int
    over_share_points: float
    stop_ms: float | None
    late: int
    ended_ms: float

    @property
    def met(self) -> bool:
        """Whether all runs meet the targets for the kind of version."""
        if self.bad:
            return self.done == 0 and self.hurt < MAX_HURT
        return self.done == self.runs


def run_moves(
    seeds: Sequence[int],
    jobs: int = 1,
    policies: Sequence[str] = MOVE_POLICIES,
    kinds: Sequence[MoveKind] = KINDS,
    rates: Sequence[int] = RATES,
) -> list[MoveFigures]:
    """Simulate every kind of version at every rate under every policy.

    Parameters
    ----------
    jobs : int
        Number of worker processes; the figures do not depend on it.
    """
    cases = [(kind, rate, policy) for kind in kinds for rate in rates for policy in policies]
    tasks = [(seed, kind, policy, rate) for kind, rate, policy in cases for seed in seeds]
    if jobs == 1:
        logs = [run_move(*task) for task in tasks]
    else:
        with ProcessPoolExecutor(jobs) as pool:
            logs = list(pool.map(run_move, *zip(*tasks, strict=True)))
    return [
        move_figures(kind, rate, policy, logs[i * len(seeds) : (i + 1) * len(seeds)])
        for i, (kind, rate, policy) in enumerate(cases)
    ]


def move_figures(
    kind: MoveKind, requests_per_s: int, policy: str, logs: Sequence[MoveLog]
) -> MoveFigures:
    """Compute the figures of all runs of one kind, rate and policy."""
    done = [log for log in logs if log.result is MoveResult.DONE]
    stop_delays_ms = [
        max(log.stopped_ms.values()) - log.first_affected_ms
        for log in logs
        if log.stopped_ms and log.first_affected_ms is not None
    ]
    return MoveFigures(
        kind=kind.name,
        bad=kind.bad,
        requests_per_s=requests_per_s,
        policy=policy,
        runs=len(logs),
        done=len(done) if kind.bad else sum(log.met_deadline for log in done),
        undone=sum(log.result is MoveResult.UNDONE for log in logs),
        hurt=max(len(log.affected) for log in logs),
        hurt_before=max(log.affected_before_stop for log in logs),
        over_share_points=round(max(map(_max_share_excess, logs)), 1),
        stop_ms=round(max(stop_delays_ms)) if stop_delays_ms else None,
        late=max(log.dispatched_after_stop for log in logs),
        ended_ms=max((log.ended_ms or 0) - START_MS for log in logs),
    )


def _max_share_excess(log: MoveLog) -> float:
    excesses = (
        100 * new / total - share
        for share, (new, total) in log.requests_by_share.items()
        if total >= _MIN_SHARE_REQUESTS or share == 0
    )
    return max(excesses, default=0.0)


def render_moves(runs: Sequence[MoveFigures]) -> str:
    """Render the figures as a text table with one row per case."""
    rows = [
        ["version", "req/s", "policy", "done", "undone", "hurt", "before stop", "over share"]
        + ["stop ms", "late", "end s", "target"]
    ]
    for run in runs:
        rows.append(
            [run.kind, str(run.requests_per_s), run.policy]
            + [f"{run.done}/{run.runs}", f"{run.undone}/{run.runs}"]
            + [str(run.hurt), str(run.hurt_before), f"{run.over_share_points:.1f}"]
            + ["-" if run.stop_ms is None else f"{run.stop_ms:.0f}", str(run.late)]
            + [f"{run.ended_ms / 1_000:.0f}", "met" if run.met else "missed"]
        )
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    lines = [
        "  ".join(cell.rjust(width) for cell, width in zip(row, widths, strict=True))
        for row in rows
    ]
    return "\n".join(["moves, worst of all seeds", *lines])
