"""Guards against slope cases that cannot be measured and against incomplete output."""

import msgspec
import pytest
from click.testing import CliRunner

from skylarkmoor_core.ids import MoveId, RouteName
from skylarkmoor_measure.fleet import INCARNATION, host_name
from skylarkmoor_measure.message_sizes import message_sizes, zmtp_bytes
from skylarkmoor_measure.slope_cases import Case, Unit, measure_case
from skylarkmoor_measure.slopes import CASES, main, render_slopes
from skylarkmoor_measure.slopes_records import make_host_list, run_owner
from skylarkmoor_measure.slopes_sharing import evidence_fact, run_evidence, spread_fact
from skylarkmoor_measure.timing import Stopwatch, kept_bytes
from skylarkmoor_policy.rollout import Evidence


@pytest.mark.parametrize("case", CASES, ids=lambda case: f"{case.cost} over {case.driver}")
def test_case_can_be_measured_at_its_smallest_size(case):
    """Guards against an interface change that breaks a case only in the next full run."""
    assert len(case.sizes) >= 3
    assert list(case.sizes) == sorted(set(case.sizes))
    if case.unit is not Unit.CPU:
        assert case.measure(case.sizes[0], 1) > 0
    else:
        assert case.measure(case.sizes[0], 1) >= 0


def test_cases_have_distinct_names():
    names = [(case.role, case.cost, case.driver, case.unit) for case in CASES]
    assert len(names) == len(set(names))


def test_measured_case_has_values_and_fitted_line():
    case = Case("peer", "cost", "size", Unit.COUNT, (1, 2, 3), lambda size, seed: 10 * size + seed)
    slope = measure_case(case, seed=4)
    assert slope.values == (14, 24, 34)
    assert round(slope.slope, 6) == 10
    assert round(slope.intercept, 6) == 4
    assert "peer: cost [messages] over size: 14 at 1, 24 at 2, 34 at 3" in render_slopes([slope])


def test_command_prints_and_writes_slopes(tmp_path):
    result = CliRunner().invoke(main, ["--out", str(tmp_path), "--only", "over routes"])
    assert result.exit_code == 0, result.output
    assert "seed 1" in result.output
    assert "Heartbeat" in result.output
    written = msgspec.json.decode((tmp_path / "slopes.json").read_bytes())
    assert {slope["driver"] for slope in written["slopes"]} == {"routes"}


def test_owner_appends_at_most_20_batches_per_second():
    """Every claim is answered; a higher rate makes larger batches instead of more appends."""
    low_rate, high_rate = run_owner(5, 10), run_owner(200, 10)
    assert low_rate.answers in (49, 50)
    assert low_rate.appends in (49, 50)
    assert high_rate.answers >= 1_980
    assert high_rate.appends <= 200


def test_gossiped_fact_reaches_every_host():
    messages, _, rounds = spread_fact(30, 1)
    # Each host sends the fact to 3 peers in each of 3 + bit_length(29) = 8 rounds.
    assert messages == 30 * 3 * 8
    assert 0 < rounds <= 16


def test_evidence_between_two_hosts_is_never_stale():
    """Each sends all its counters to its only peer every round, so no evidence has any age."""
    run = run_evidence(2, 1, 1)
    assert run.gossip_bytes > 0
    assert run.digest_bytes > 0
    assert run.seconds == 10
    assert run.mean_age_ms == 0


def test_evidence_facts_have_the_format_of_the_rollout_code():
    """Facts in another format would make the measured evidence bytes wrong."""
    evidence = Evidence(MoveId("assistant@7"), host_name(1), INCARNATION, 50)
    evidence.record(2, RouteName("route-0003"), new=True, failed=False, latency_ms=1.0)
    (fact,) = evidence.facts(1)
    made = evidence_fact(103, 1)
    assert made.subject == fact.subject
    assert len(made.value) == len(fact.value)


def test_frame_header_grows_for_messages_above_255_bytes():
    assert zmtp_bytes(30) == 32
    assert zmtp_bytes(603) == 612


def test_message_sizes_list_each_kind_once():
    kinds = [message_size.kind for message_size in message_sizes()]
    assert len(kinds) == len(set(kinds))
    assert len(kinds) == 14


def test_host_list_has_the_requested_number_of_hosts():
    hosts = msgspec.json.decode(make_host_list(9))["hosts"]
    assert [host["kind"] for host in hosts].count("entry") == 3
    assert len({host["host"] for host in hosts}) == 9


def test_freed_memory_does_not_count_as_kept():
    assert kept_bytes(lambda: bytes(1_000_000)) >= 1_000_000

    def allocate_and_free():
        bytes(1_000_000)

    assert kept_bytes(allocate_and_free) < 100_000


def test_stopwatch_counts_calls_and_returns_results():
    watch = Stopwatch()
    assert [watch.time(lambda: 7) for _ in range(3)] == [7, 7, 7]
    assert watch.calls == 3
    assert watch.mean_us >= 0
