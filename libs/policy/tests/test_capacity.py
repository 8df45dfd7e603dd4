"""Guards capacity estimates against growth beyond the latency targets and against collapse."""

from skylarkmoor_core.document import Tier
from skylarkmoor_policy.capacity import CapacityModel, CostBounds, PressureWindow, SpeedModel


def test_high_latency_lowers_the_capacity_gradually():
    model = CapacityModel(CostBounds(1_000, 10))
    values = []
    for now_ms in range(0, 10_000, 100):
        model.observe(200, model.value, now_ms)
        values.append(model.value)
    assert values == sorted(values, reverse=True)
    assert 100 <= model.value < 500


def test_capacity_is_not_lowered_while_the_last_decrease_takes_effect():
    model = CapacityModel(CostBounds(1_000, 10))
    for now_ms in range(0, 20_000, 100):
        model.observe(200, 1_000, now_ms)
    assert model.value == 900


def test_low_latency_at_full_use_raises_the_capacity_to_the_limit():
    model = CapacityModel(CostBounds(1_000, 10), 50)
    for now_ms in range(0, 10_000, 100):
        model.observe(50, model.value, now_ms)
    assert model.value == 1_000


def test_low_latency_of_an_idle_upstream_does_not_raise_the_capacity():
    model = CapacityModel(CostBounds(1_000, 10), 50)
    for now_ms in range(0, 10_000, 100):
        model.observe(50, 100, now_ms)
    assert model.value == 500


def test_prefill_time_of_a_long_prompt_does_not_count_as_pressure():
    window = PressureWindow()
    window.observe_first_token(1_100, 1_000, Tier(name="t", rank=0, first_token_ms=400))
    assert window.percent() == 25


def test_queueing_in_the_engine_does_not_count_as_slow_prefill():
    speed = SpeedModel()
    speed.observe_prefill(1_000, 100)
    for _ in range(5):
        speed.observe_prefill(1_000, 500)
    assert speed.prefill_ms < 0.15
