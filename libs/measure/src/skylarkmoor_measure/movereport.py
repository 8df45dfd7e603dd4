"""Figures of whole moves, as a table and as JSON."""

from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor

import msgspec

from skylarkmoor_core.records import MoveResult
from skylarkmoor_measure.moves import KINDS, MOVE_POLICIES, RATES, MoveKind, MoveLog, run_move
from skylarkmoor_measure.session import START_MS

__all__ = ["MAX_HURT", "MoveFigures", "move_figures", "render_moves", "run_moves"]

# A bad version has to be stopped before as many requests have failed by it.
MAX_HURT = 50
# Fewer requests at a share say nothing about the share given.
_MIN_SHARE_REQUESTS = 400


class MoveFigures(msgspec.Struct, frozen=True):
    """Figures of the runs with one kind of version, rate and policy, the worst of all seeds.

    Attributes
    ----------
    done, undone : int
        Runs that ended; of good versions, only those done in time.
    hurt, hurt_before : int
        Requests that the version failed or slowed down, in all and up to its stop.
    over_share_points : float
        Largest share given above the published one.
    stop_ms : float, optional
        Longest time from the first failure until the version was stopped on all daemons.
    late : int
        Requests of the version after its stop was known plus one gossip round.
    ended_ms : float
        Latest end of a move, from its start.
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
        """Whether the targets are met in all runs."""
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
    """Run every kind of version at every rate by every policy.

    Parameters
    ----------
    jobs : int
        Processes that share the runs; the figures do not depend on it.
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
    """Return the figures of the runs of one case."""
    done = [log for log in logs if log.result is MoveResult.DONE]
    stops = [
        max(log.stopped_ms.values()) - log.first_hurt_ms
        for log in logs
        if log.stopped_ms and log.first_hurt_ms is not None
    ]
    return MoveFigures(
        kind=kind.name,
        bad=kind.bad,
        requests_per_s=requests_per_s,
        policy=policy,
        runs=len(logs),
        done=len(done) if kind.bad else sum(log.in_time for log in done),
        undone=sum(log.result is MoveResult.UNDONE for log in logs),
        hurt=max(len(log.hurt) for log in logs),
        hurt_before=max(log.hurt_before for log in logs),
        over_share_points=round(max(map(_over_share, logs)), 1),
        stop_ms=round(max(stops)) if stops else None,
        late=max(log.late for log in logs),
        ended_ms=max((log.ended_ms or 0) - START_MS for log in logs),
    )


def _over_share(log: MoveLog) -> float:
    over = (
        100 * new / total - share
        for share, (new, total) in log.shares.items()
        if total >= _MIN_SHARE_REQUESTS or share == 0
    )
    return max(over, default=0.0)


def render_moves(runs: Sequence[MoveFigures]) -> str:
    """Return the figures as a text table, one line a case."""
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
    lines = ["  ".join(c.rjust(w) for c, w in zip(row, widths, strict=True)) for row in rows]
    return "\n".join(["moves, worst of all seeds", *lines])
