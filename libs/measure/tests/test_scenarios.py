"""Guards against lost requests and irreproducible figures in the load scenarios."""

import random

import pytest

from skylarkmoor_measure.report import figures_of
from skylarkmoor_measure.scenarios import POLICIES, run_policy
from skylarkmoor_measure.session import Fault, FaultKind
from skylarkmoor_measure.workload import generate_arrivals

SEED = 5
ARRIVALS_MS = 5_000
# Beyond the last arrival plus the longest deadline, so that every request has ended.
RUN_MS = 100_000
FAULTS = (Fault(FaultKind.KILL, 0, 2_000, 4_000),)


def _run(policy: str):
    arrivals = list(generate_arrivals(random.Random(SEED), 10.0, ARRIVALS_MS))
    return run_policy(policy, SEED, arrivals, FAULTS, RUN_MS)


def _figures(policy: str):
    return figures_of(policy, _run(policy), (0, ARRIVALS_MS))


@pytest.mark.parametrize("policy", POLICIES)
def test_every_request_completes_or_is_refused(policy):
    session = _run(policy)
    assert session.logs
    open_requests = [
        request
        for request, log in session.logs.items()
        if log.completed_ms is None and log.refusal is None
    ]
    assert open_requests == []


@pytest.mark.parametrize("policy", POLICIES)
def test_same_seed_gives_same_figures(policy):
    assert _figures(policy) == _figures(policy)
