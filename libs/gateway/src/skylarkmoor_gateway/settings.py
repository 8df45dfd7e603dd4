"""Settings of the gateway."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from skylarkmoor_core.ids import FailureDomain, HostId
from skylarkmoor_core.settings import Address

__all__ = ["GatewaySettings"]


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Validated settings of a gateway.

    Attributes
    ----------
    relay_address : Address or None
        Listen address for connections of peers that are passed on to upstreams; None for none.
    caller_address, ready_address, peer_address : Address
        Listen addresses for callers, load balancer health checks and peers.
    metrics_address : Address or None
        Listen address for metrics, None to serve none.
    retry_ratio, retry_window_ms, retry_slack
        Retry budget of the whole fleet.
    limit_window_ms, limit_overshoot_fraction, limit_slack_units
        Window of the customers' limits, and the tolerated overshoot per window.
    max_configuration_age_ms : int
        Time since its last confirmation up to which the configuration counts as the newest.
    grace_ms : int
        Time between SIGTERM and SIGKILL at shutdown.
    is_first_fleet_start : bool
        Whether the whole fleet starts for the first time.
    max_canary_share : float
        Share of a service's requests, from 0 to 1, that a bad new version may get.
    failure_domain : FailureDomain
        Failure domain of the host; empty if it is not known, in which case no states are relayed.
    cold_overshoot, cold_slack : float
        A cold upstream bears `cold_overshoot` times its rate plus `cold_slack` requests in any
        second.
    regions : mapping
        Region of each failure domain.
    region : str
        Region of this host; empty if it is not known.
    memory_mb, max_fds : int or None
        Memory and file descriptors of the host; None if they are not bounded.
    link_mbps : float
        Speed of the host's link; 0 if it is not known.
    """

    host: HostId
    caller_address: Address
    ready_address: Address
    peer_address: Address
    metrics_address: Address | None = None
    relay_address: Address | None = None
    retry_ratio: float = 0.2
    retry_window_ms: int = 10_000
    retry_slack: float = 10
    limit_window_ms: int = 8_000
    limit_overshoot_fraction: float = 0.0
    limit_slack_units: float = 0
    grace_ms: int = 8_000
    max_configuration_age_ms: int = 1_000
    is_first_fleet_start: bool = True
    max_canary_share: float = 0.1
    failure_domain: FailureDomain = FailureDomain("")
    cold_overshoot: float = 1.0
    cold_slack: float = 0.0
    regions: Mapping[FailureDomain, str] = field(default_factory=dict)
    region: str = ""
    memory_mb: int | None = None
    max_fds: int | None = None
    link_mbps: float = 0.0
