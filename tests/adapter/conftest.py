"""Fixtures for the adapter tests."""

import random

import pytest

# For tests in which nothing confirms the configuration.
ONE_DAY_MS = 86_400_000


@pytest.fixture
def harness(make_harness):
    """Return a gateway with a configuration and no upstreams."""
    return make_harness()


@pytest.fixture
def make_harness():
    """Return a function that makes gateways, whose sockets are closed after the test."""
    made = []

    def make(host="host-1", clock=None, max_configuration_age_ms=ONE_DAY_MS):
        made.append(_make_harness(host, clock, max_configuration_age_ms))
        return made[-1]

    yield make
    for each in made:
        each.gateway.fleet.close()


def _make_harness(host, clock, max_configuration_age_ms):
    # Imported here, because importing klein installs the default reactor.
    from twisted.internet.testing import MemoryReactorClock

    from adapter_harness import CONFIG, Harness
    from skylarkmoor_adapter.headers import HeaderCodec
    from skylarkmoor_adapter.records import decode_configuration
    from skylarkmoor_core.clock import ManualClock
    from skylarkmoor_core.settings import Address
    from skylarkmoor_gateway.gateway import Gateway
    from skylarkmoor_gateway.settings import GatewaySettings

    reactor = MemoryReactorClock()
    clock = clock or ManualClock(now_ms=1_000)
    address = Address("127.0.0.1", 0)
    gateway = Gateway(
        GatewaySettings(
            host,
            address,
            address,
            address,
            retry_slack=50,
            max_configuration_age_ms=max_configuration_age_ms,
        ),
        reactor,
        clock,
        random.Random(int(host.rpartition("-")[2])),
        HeaderCodec(),
    )
    # Reads end their turn by processor time, which differs from run to run.
    gateway.paths._pacer.processor_s = lambda: 0.0
    gateway.set_table(decode_configuration(CONFIG), CONFIG)
    gateway.fleet.configuration_age.confirm(clock.now_ms())
    return Harness(gateway, reactor, clock)
