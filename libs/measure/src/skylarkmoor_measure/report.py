"""Figures of a run, as a table, as JSON and as a plot."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path

import msgspec

from skylarkmoor_measure.session import START_MS, RequestLog, Session

__all__ = ["RunFigures", "TierFigures", "figures_of", "render_table", "write_json", "write_plot"]

TIERS = 4


class TierFigures(msgspec.Struct, frozen=True):
    """Figures of one tier; latencies are 95th percentiles of completed requests."""

    offered: int
    completed: int
    refused: int
    goodput_percent: float
    first_token_p95_ms: float
    first_token_after_dispatch_p95_ms: float
    between_tokens_p95_ms: float


class RunFigures(msgspec.Struct, frozen=True):
    """Figures of one policy in one run."""

    policy: str
    tiers: tuple[TierFigures, ...]
    goodput_tokens_per_s: float
    wasted_prefill_tokens: int
    wasted_prefill_percent: float
    preemptions: int
    messages_per_s: float


@dataclass(frozen=True, slots=True)
class _Percentile:
    values: Sequence[float]

    def at(self, percent: int) -> float:
        """Return the value below which `percent` of the values lie, 0 without values."""
        if not self.values:
            return 0.0
        ordered = sorted(self.values)
        return round(ordered[min(len(ordered) - 1, len(ordered) * percent // 100)], 1)


def figures_of(policy: str, session: Session, window_ms: tuple[int, int]) -> RunFigures:
    """Return the figures of a finished run for the requests that arrived in `window_ms`."""
    start_ms, end_ms = window_ms
    duration_ms = end_ms - start_ms
    logs = [log for log in session.logs.values() if start_ms <= log.arrival.at_ms < end_ms]
    tiers = [
        _tier_figures([log for log in logs if log.arrival.route.tier == t]) for t in range(TIERS)
    ]
    useful = sum(_value(log) for log in logs if _is_good(log))
    computed = sum(log.prefilled_tokens for log in logs)
    wasted = sum(log.wasted_prefill_tokens for log in logs)
    return RunFigures(
        policy=policy,
        tiers=tuple(tiers),
        goodput_tokens_per_s=round(1_000 * useful / duration_ms, 1),
        wasted_prefill_tokens=wasted,
        wasted_prefill_percent=round(100 * wasted / max(1, computed), 2),
        preemptions=sum(log.preemptions for log in logs),
        messages_per_s=round(session.messages_per_s(), 1),
    )


def _is_good(log: RequestLog) -> bool:
    """Return whether the whole answer came by the deadline and at the tier's pace."""
    return log.completed_ms is not None and log.mean_gap_ms <= 70


def _value(log: RequestLog) -> int:
    """Return the tokens that a good answer is worth."""
    return log.arrival.output_tokens


def _tier_figures(logs: Sequence[RequestLog]) -> TierFigures:
    done = [log for log in logs if log.completed_ms is not None]
    waits = [
        log.first_token_ms - log.arrival.at_ms - START_MS
        for log in done
        if log.first_token_ms is not None
    ]
    return TierFigures(
        offered=len(logs),
        completed=len(done),
        refused=sum(log.refusal is not None for log in logs),
        goodput_percent=round(100 * sum(map(_is_good, logs)) / max(1, len(logs)), 1),
        first_token_p95_ms=_Percentile(waits).at(95),
        first_token_after_dispatch_p95_ms=_Percentile(
            [
                log.first_token_ms - log.dispatched_ms
                for log in done
                if log.first_token_ms is not None and log.dispatched_ms is not None
            ]
        ).at(95),
        between_tokens_p95_ms=_Percentile([log.mean_gap_ms for log in done]).at(95),
    )


def render_table(title: str, runs: Sequence[RunFigures]) -> str:
    """Return the figures as a text table, one line a policy."""
    head = ["policy", "tier 0 %", "tier 1 %", "tier 2 %", "tier 3 %", "tokens/s"]
    head += ["wasted prefill %", "first p95 ms", "gap p95 ms", "preempted", "msgs/s"]
    rows = [head]
    for run in runs:
        rows.append(
            [run.policy]
            + [f"{tier.goodput_percent:.1f}" for tier in run.tiers]
            + [f"{run.goodput_tokens_per_s:.0f}", f"{run.wasted_prefill_percent:.2f}"]
            + [f"{run.tiers[0].first_token_p95_ms:.0f}"]
            + [f"{max(tier.between_tokens_p95_ms for tier in run.tiers):.0f}"]
            + [str(run.preemptions), f"{run.messages_per_s:.0f}"]
        )
    widths = [max(len(row[i]) for row in rows) for i in range(len(head))]
    lines = [
        "  ".join(cell.rjust(width) for cell, width in zip(row, widths, strict=True))
        for row in rows
    ]
    return "\n".join([title, *lines])


def write_json(path: Path, results: object) -> None:
    """Write all figures as JSON."""
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(msgspec.json.format(msgspec.json.encode(results)) + b"\n")


def write_plot(path: Path, results: Mapping[str, Sequence[RunFigures]]) -> None:
    """Write a bar chart of goodput by tier for each scenario as PNG."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, len(results), figsize=(5 * len(results), 4), squeeze=False)
    for axis, (scenario, runs) in zip(axes[0], results.items(), strict=True):
        for i, run in enumerate(runs):
            places = [tier + i * 0.8 / len(runs) for tier in range(TIERS)]
            heights = [tier.goodput_percent for tier in run.tiers]
            axis.bar(places, heights, width=0.8 / len(runs), label=run.policy)
        axis.set_title(scenario)
        axis.set_xlabel("tier")
        axis.set_ylabel("goodput, % of offered")
        axis.set_ylim(0, 105)
    axes[0][0].legend(fontsize="small")
    figure.tight_layout()
    path.parent.mkdir(parents=True, exist_ok=True)
    # Without metadata the same figures give the same bytes.
    figure.savefig(path, metadata={"Software": None})
    pyplot.close(figure)
