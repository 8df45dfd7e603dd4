"""Guards against a fixed part that is mistaken for a low prompt speed, and against wild fits."""

import random

import pytest

from skylarkmoor_policy.firsttokenmodel import (
    PRIOR_FIRST_TOKEN_MODEL,
    FirstTokenModel,
    FirstTokenSums,
    fit_first_token,
)


def sums(samples):
    return FirstTokenSums(
        len(samples),
        sum(x for x, _ in samples),
        sum(y for _, y in samples),
        sum(x * x for x, _ in samples),
        sum(x * y for x, y in samples),
    )


def engine_samples(speed, count=40):
    """Return prompts with their times on an engine that reads in chunks between its steps."""
    rng = random.Random(3)
    samples = []
    for _ in range(count):
        tokens = min(54_600, round(rng.expovariate(1 / rng.choice((628, 1_800, 6_610)))))
        steps_ms = -(-tokens // 1_024) * rng.uniform(2.2, 6.2)
        samples.append((tokens, (53 + tokens / rng.uniform(40, 80) + steps_ms) / speed))
    return samples


@pytest.mark.parametrize("speed", [0.55, 1, 2.8])
def test_both_parts_of_an_engine_are_learnt(speed):
    model = fit_first_token(sums(engine_samples(speed)))
    assert model.fixed_ms == pytest.approx(53 / speed, rel=0.25, abs=8)
    assert model.predict_ms(6_610) == pytest.approx((53 + 6_610 / 47) / speed, rel=0.25)


def test_the_fixed_part_of_a_slow_engine_does_not_make_its_long_prompts_longer():
    """With one figure for both, small prompts of 153 ms made a long one look like 1.5 s."""
    samples = [(600 + 10 * n, 100 + (600 + 10 * n) / 40) for n in range(20)]
    assert fit_first_token(sums(samples)).predict_ms(6_600) == pytest.approx(265, rel=0.1)


def test_prompts_of_one_length_keep_the_part_per_token():
    model = fit_first_token(sums([(1_800, 300.0)] * 50))
    assert model.ms_per_token == PRIOR_FIRST_TOKEN_MODEL.ms_per_token
    assert model.fixed_ms == pytest.approx(244, abs=1)
    assert model.predict_ms(1_800) == pytest.approx(300, rel=0.05)


@pytest.mark.parametrize(
    "samples",
    [
        [(0, 900.0), (50_000, 0.0)],
        [(100, 0.0), (50_000, 90_000.0)],
        [(0, 0.0)] * 500,
        [(50_000, 1e9)],
    ],
)
def test_contradictory_samples_leave_both_parts_positive_and_bounded(samples):
    """A negative part would make an engine look idle, whatever load it has."""
    model = fit_first_token(sums(samples))
    assert model.fixed_ms >= 5
    assert 1 / 800 <= model.ms_per_token <= 1 / 2


def test_sums_without_a_request_keep_the_prior():
    prior = FirstTokenModel(70, 0.1)
    assert fit_first_token(FirstTokenSums(-1, 5, 5, 5, 5), prior) == prior
