"""Distinct types for the identifiers of the system."""

from typing import NewType

__all__ = [
    "AttemptId",
    "ClaimId",
    "CustomerId",
    "FailureDomain",
    "Fingerprint",
    "HostId",
    "Incarnation",
    "MoveId",
    "Offset",
    "PromptPart",
    "RequestId",
    "RouteName",
    "ServiceName",
    "TierRank",
    "UpstreamId",
    "VersionId",
]

HostId = NewType("HostId", str)
UpstreamId = NewType("UpstreamId", str)
FailureDomain = NewType("FailureDomain", str)
CustomerId = NewType("CustomerId", str)
ServiceName = NewType("ServiceName", str)
RouteName = NewType("RouteName", str)
VersionId = NewType("VersionId", str)
MoveId = NewType("MoveId", str)
RequestId = NewType("RequestId", str)
AttemptId = NewType("AttemptId", str)
ClaimId = NewType("ClaimId", str)
# Start time of a process in epoch milliseconds; it increases with each restart on a host.
Incarnation = NewType("Incarnation", int)
# Position of a record in a log stream.
Offset = NewType("Offset", int)
# 64-bit hash of a request's customer, route and body.
Fingerprint = NewType("Fingerprint", int)
# Identifies the text of a part of a prompt, which several requests may share.
PromptPart = NewType("PromptPart", int)
# 0 is the highest priority.
TierRank = NewType("TierRank", int)
