"""Fixtures of the process library's tests."""

import time

import pytest

# Bounds a wait that would otherwise hang; it is no bound on how fast anything is.
_LIMIT_S = 20
_PAUSE_S = 0.02


@pytest.fixture
def until():
    """Return a coroutine function that waits until a condition holds."""
    from twisted.internet import reactor
    from twisted.internet.task import deferLater

    async def wait(condition):
        end_s = time.monotonic() + _LIMIT_S
        while not condition():
            if time.monotonic() > end_s:
                raise AssertionError("the condition did not come true")
            await deferLater(reactor, _PAUSE_S, lambda: None)

    return wait
