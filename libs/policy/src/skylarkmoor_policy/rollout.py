"""Public interface of version moves: progress, evidence, judgement and orders to upstreams."""

from skylarkmoor_policy.evidence import (
    ALL_ROUTES,
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
    "ALL_ROUTES",
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
