"""Settings of a gateway."""

from dataclasses import dataclass

from skylarkmoor_core.ids import HostId
from skylarkmoor_core.settings import Address

__all__ = ["GatewaySettings"]


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Settings of a gateway, checked.

    Attributes
    ----------
    caller_address, ready_address, peer_address : Address
        Where it listens to callers, to the load balancer's checks, and to other daemons.
    metrics_address : Address or None
        Where metrics are served.
    retry_ratio, retry_window_ms, retry_slack
        The budget of repeated sends of all daemons together.
    limit_window_ms, limit_overshoot_part, limit_slack_units
        How far the customers' limits may be exceeded.
    grace_ms : int
        Time between the signal to end and the kill.
    first_start : bool
        Whether the whole system starts for the first time.
    """

    host: HostId
    caller_address: Address
    ready_address: Address
    peer_address: Address
    metrics_address: Address | None = None
    retry_ratio: float = 0.2
    retry_window_ms: int = 10_000
    retry_slack: int = 10
    limit_window_ms: int = 8_000
    limit_overshoot_part: float = 0.0
    limit_slack_units: int = 0
    grace_ms: int = 8_000
    first_start: bool = True
