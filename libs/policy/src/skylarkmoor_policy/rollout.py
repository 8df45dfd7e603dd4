"""Public interface of version moves: progress, evidence, decisions and orders to upstreams."""

from skylarkmoor_policy.evidence import (
    ALL_ROUTES,
    Evidence,
    EvidenceHistory,
    RequestCounts,
    Window,
)
from skylarkmoor_policy.movedecision import (
    AdvanceStep,
    CompleteMove,
    KeepWaiting,
    MoveAction,
    RollBack,
    StopVersion,
    decide_next_action,
)
from skylarkmoor_policy.movefollower import (
    DesiredVersions,
    EndAccepted,
    MoveFollower,
    MoveProgress,
    RecordDiscarded,
    StepAccepted,
    share_of_step,
    stopped_fact,
)
from skylarkmoor_policy.reconciliation import (
    ReportedVersions,
    VersionOrder,
    VersionOrderAction,
    reconcile,
)

__all__ = [
    "ALL_ROUTES",
    "AdvanceStep",
    "CompleteMove",
    "DesiredVersions",
    "EndAccepted",
    "Evidence",
    "EvidenceHistory",
    "KeepWaiting",
    "MoveAction",
    "MoveFollower",
    "MoveProgress",
    "RecordDiscarded",
    "ReportedVersions",
    "RequestCounts",
    "RollBack",
    "StepAccepted",
    "StopVersion",
    "VersionOrder",
    "VersionOrderAction",
    "Window",
    "decide_next_action",
    "reconcile",
    "share_of_step",
    "stopped_fact",
]
