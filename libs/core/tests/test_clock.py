"""Guards against clocks that go backwards and against mixed-up wall and monotonic time."""

import time

import pytest

from skylarkmoor_core.clock import ManualClock, SystemClock


def test_manual_clock_advances_both_readings_by_the_step():
    clock = ManualClock(now_ms=5, wall_offset_ms=1_000)
    clock.advance(10)
    assert (clock.now_ms(), clock.wall_ms()) == (15, 1_015)


def test_manual_clock_rejects_a_negative_step():
    with pytest.raises(ValueError, match="-1"):
        ManualClock().advance(-1)


def test_system_clock_is_monotonic():
    clock = SystemClock()
    readings = [clock.now_ms() for _ in range(1_000)]
    assert readings == sorted(readings)


def test_system_clock_converts_both_sources_to_milliseconds(monkeypatch):
    monkeypatch.setattr("time.time_ns", lambda: 1_700_000_000_123_999_999)
    readings = {time.CLOCK_BOOTTIME: 5_999_999}
    monkeypatch.setattr("time.clock_gettime_ns", readings.__getitem__)
    clock = SystemClock()
    assert (clock.wall_ms(), clock.now_ms()) == (1_700_000_000_123, 5)
