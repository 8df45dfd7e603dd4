"""Figures of a benchmark run, and their output as table, JSON and plot."""

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
class _Sample:
    values: Sequence[float]

    def at(self, percent: int) -> float:
        """Return the given percentile, or 0 if there are no values."""
        if not self.values:
            return 0.0
        ordered = sorted(self.values)
        return round(ordered[min(len(ordered) - 1, len(ordered) * percent // 100)], 1)


def figures_of(policy: str, session: Session, window_ms: tuple[int, int]) -> RunFigures:
    """Compute the figures of a finished run over the requests that arrived in `window_ms`."""
    start_ms, end_ms = window_ms
    duration_ms = end_ms - start_ms
    logs = [log for log in session.logs.values() if start_ms <= log.arrival.at_ms < end_ms]
    tiers = [
        _tier_figures([log for log in logs if log.arrival.route.tier == t]) for t in range(TIERS)
    ]
    goodput_tokens = sum(_goodput_tokens(log) for log in logs if _meets_targets(log))
    prefilled_tokens_total = sum(log.prefilled_tokens for log in logs)
    wasted_tokens = sum(log.wasted_prefill_tokens for log in logs)
    return RunFigures(
        policy=policy,
        tiers=tuple(tiers),
        goodput_tokens_per_s=round(1_000 * goodput_tokens / duration_ms, 1),
        wasted_prefill_tokens=wasted_tokens,
        wasted_prefill_percent=round(100 * wasted_tokens / max(1, prefilled_tokens_total), 2),
        preemptions=sum(log.preemptions for log in logs),
        messages_per_s=round(session.messages_per_s(), 1),
    )


def _meets_targets(log: RequestLog) -> bool:
    """Return whether the answer met its deadline and at most 70 ms mean time between tokens."""
    return log.completed_ms is not None and log.mean_gap_ms <= 70


def _goodput_tokens(log: RequestLog) -> int:
    """Return the output tokens that a request adds to goodput."""
    return log.arrival.output_tokens


def _tier_figures(logs: Sequence[RequestLog]) -> TierFigures:
    done = [log for log in logs if log.completed_ms is not None]
    first_token_latencies_ms = [
        log.first_token_ms - log.arrival.at_ms - START_MS
        for log in done
        if log.first_token_ms is not None
    ]
    return TierFigures(
        offered=len(logs),
        completed=len(done),
        refused=sum(log.refusal is not None for log in logs),
        goodput_percent=round(100 * sum(map(_meets_targets, logs)) / max(1, len(logs)), 1),
        first_token_p95_ms=_Sample(first_token_latencies_ms).at(95),
        first_token_after_dispatch_p95_ms=_Sample(
            [
                log.first_token_ms - log.dispatched_ms
                for log in done
                if log.first_token_ms is not None and log.dispatched_ms is not None
            ]
        ).at(95),
        between_tokens_p95_ms=_Sample([log.mean_gap_ms for log in done]).at(95),
    )


def render_table(title: str, runs: Sequence[RunFigures]) -> str:
    """Render the figures as a text table with one row per policy."""
    header = ["policy", "tier 0 %", "tier 1 %", "tier 2 %", "tier 3 %", "tokens/s"]
    header += ["wasted prefill %", "first p95 ms", "gap p95 ms", "preempted", "msgs/s"]
    rows = [header]
    for run in runs:
        rows.append(
            [run.policy]
            + [f"{tier.goodput_percent:.1f}" for tier in run.tiers]
            + [f"{run.goodput_tokens_per_s:.0f}", f"{run.wasted_prefill_percent:.2f}"]
            + [f"{run.tiers[0].first_token_p95_ms:.0f}"]
            + [f"{max(tier.between_tokens_p95_ms for tier in run.tiers):.0f}"]
            + [str(run.preemptions), f"{run.messages_per_s:.0f}"]
        )
    widths = [max(len(row[i]) for row in rows) for i in range(len(header))]
    lines = [
        "  ".join(cell.rjust(width) for cell, width in zip(row, widths, strict=True))
        for row in rows
    ]
    return "\n".join([title, *lines])


def write_json(path: Path, results: object) -> None:
    """Write the results as formatted JSON and create the folder if needed."""
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(msgspec.json.format(msgspec.json.encode(results)) + b"\n")


def write_plot(path: Path, results: Mapping[str, Sequence[RunFigures]]) -> None:
    """Write a PNG with a bar chart of goodput by tier for each scenario."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, len(results), figsize=(5 * len(results), 4), squeeze=False)
    for axis, (scenario, runs) in zip(axes[0], results.items(), strict=True):
        for i, run in enumerate(runs):
            bar_positions = [tier + i * 0.8 / len(runs) for tier in range(TIERS)]
            bar_heights = [tier.goodput_percent for tier in run.tiers]
            axis.bar(bar_positions, bar_heights, width=0.8 / len(runs), label=run.policy)
        axis.set_title(scenario)
        axis.set_xlabel("tier")
        axis.set_ylabel("goodput, % of offered")
        axis.set_ylim(0, 105)
    axes[0][0].legend(fontsize="small")
    figure.tight_layout()
    path.parent.mkdir(parents=True, exist_ok=True)
    # Without the software version in the metadata, equal figures give identical files.
    figure.savefig(path, metadata={"Software": None})
    pyplot.close(figure)
