"""Fixtures for the tests of the process library."""

import time

import pytest

# Ends a wait that would otherwise hang; not a performance bound.
_TIMEOUT_S = 20
_POLL_INTERVAL_S = 0.02


@pytest.fixture
def wait_until():
    """Return a coroutine function that waits until a condition is true."""
    from twisted.internet import reactor
    from twisted.internet.task import deferLater

    async def poll(condition):
        timeout_at_s = time.monotonic() + _TIMEOUT_S
        while not condition():
            if time.monotonic() > timeout_at_s:
                raise AssertionError("the condition did not become true before the timeout")
            await deferLater(reactor, _POLL_INTERVAL_S, lambda: None)

    return poll
