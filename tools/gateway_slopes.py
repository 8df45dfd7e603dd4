"""What a gateway's state message and its decisions cost, by number of upstreams and customers."""

import argparse
import random
import time
from collections.abc import Callable

# Makes the sources of this working copy importable.
import sources  # noqa: F401

from skylarkmoor_core.ids import HostId, Incarnation, ServiceName, UpstreamId
from skylarkmoor_core.messages import Envelope, GatewayState, decode_envelope, encode_envelope
from skylarkmoor_policy.placement import Placement
from skylarkmoor_policy.trackedupstream import RegisteredUpstream

# Upstream and customer counts of small sites, of sites after growth and of the design size.
SIZES = ((9, 5), (18, 5), (48, 16), (600, 1_800))
SERVICE_COUNT = 4
SERVICE = ServiceName("assistant")
PEER_HOST = HostId("peer")


def make_state(upstreams: list[UpstreamId], customers: int) -> GatewayState:
    """Return a state message with an entry for every upstream and customer."""
    services = [f"service-{number}" for number in range(SERVICE_COUNT)]
    return GatewayState(
        address="10.1.0.25:7600",
        leaving=False,
        configuration=123_456,
        loads=dict.fromkeys(upstreams, (3, 12_000)),
        admitted={f"cust{number:04d}": 10_000_000 for number in range(customers)},
        requests=dict.fromkeys(services, 1_000_000),
        repeats=dict.fromkeys(services, 10_000),
        taken={HostId("front-caerdydd-1"): 1_234},
        records=dict.fromkeys(upstreams, (120_000, 30_000, 4_000, 90_000, 300, 3)),
        upstreams=5_000,
    )


def mean_us(operation: Callable[[], object], rounds: int) -> float:
    """Return the mean processor time of one call in microseconds."""
    start = time.process_time_ns()
    for _ in range(rounds):
        operation()
    return (time.process_time_ns() - start) / rounds / 1_000


def main() -> None:
    """Print the message size and the costs as one line for each size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=200, help="calls that are averaged")
    rounds = parser.parse_args().rounds
    print("upstreams customers bytes encode_us decode_us apply_us choose_us")
    for count, customers in SIZES:
        upstreams = [UpstreamId(f"i-{number:010x}") for number in range(count)]
        state = make_state(upstreams, customers)
        envelope = Envelope(HostId("front-caerdydd-1"), Incarnation(1), state)
        data = encode_envelope(envelope)
        placement = Placement(random.Random(1))
        for upstream in upstreams:
            placement.set_upstream(
                RegisteredUpstream(
                    upstream, SERVICE, ("10.0.0.1", 80), slots=9, version="v1", started_wall_ms=0
                )
            )

        def apply(placement: Placement = placement, state: GatewayState = state) -> None:
            placement.set_peer_load(PEER_HOST, state.loads)
            placement.update_peer_health(PEER_HOST, state.records, {}, 0)

        def choose(placement: Placement = placement) -> None:
            placement.choose(SERVICE, 1_000, 0, only_with_capacity=True, max_event_gap_ms=400)

        costs_us = (
            mean_us(lambda envelope=envelope: encode_envelope(envelope), rounds),
            mean_us(lambda data=data: decode_envelope(data), rounds),
            mean_us(apply, rounds),
            mean_us(choose, rounds),
        )
        print(count, customers, len(data), *(f"{cost_us:.0f}" for cost_us in costs_us))


if __name__ == "__main__":
    main()
