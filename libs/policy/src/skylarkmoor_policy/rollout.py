"""Moves to a new version: progress, evidence, judgement and orders to upstreams."""

from skylarkmoor_policy.evidence import (
    TOTAL,
    Counts,
    Evidence,
    EvidenceHistory,
    Window,
)
from skylarkmoor_policy.judgement import (
    Continue,
    Finish,
    Judgement,
    Raise,
    Stop,
    TakeBack,
    judge,
)
from skylarkmoor_policy.movefollower import (
    Discarded,
    Ended,
    MoveFollower,
    Progress,
    Stepped,
    Wanted,
    share_of_step,
    stopped_fact,
)
from skylarkmoor_policy.reconciling import (
    Order,
    OrderAction,
    ReportedVersions,
    reconcile,
)

__all__ = [
    "TOTAL",
    "Continue",
    "Counts",
    "Discarded",
    "Ended",
    "Evidence",
    "EvidenceHistory",
    "Finish",
    "Judgement",
    "MoveFollower",
    "Order",
    "OrderAction",
    "Progress",
    "Raise",
    "ReportedVersions",
    "Stepped",
    "Stop",
    "TakeBack",
    "Wanted",
    "Window",
    "judge",
    "reconcile",
    "share_of_step",
    "stopped_fact",
]
