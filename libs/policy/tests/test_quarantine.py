"""Guards I9: two crashes stop a request fleet-wide, and bystanders are soon free again."""

import itertools
import random

import pytest

from skylarkmoor_core.messages import Fact, FactKind
from skylarkmoor_policy.facts import SUSPECT_LIFETIME_MS, FactStore
from skylarkmoor_policy.quarantine import Standing, SuspectTable, Suspicion

POISON, BYSTANDER, OTHER = 1, 2, 3


def crashed(*crashes):
    table = SuspectTable()
    for upstream, incarnation, in_flight in crashes:
        table.crash(upstream, incarnation, in_flight, 0)
    return table


def test_request_without_crashes_runs_anywhere():
    assert SuspectTable().may_run(OTHER, "u1", [POISON])


def test_second_crash_quarantines():
    table = crashed(("u1", 1, [POISON]))
    assert table.standing(POISON) is Standing.SUSPECT
    table.crash("u2", 1, [POISON], 0)
    assert table.standing(POISON) is Standing.QUARANTINED
    assert not table.may_run(POISON, "u3", [])


def test_one_crash_reported_twice_counts_once():
    table = crashed(("u1", 1, [POISON]))
    assert table.crash("u1", 1, [POISON], 5) == []
    table.apply([Fact(FactKind.SUSPECT, Suspicion(POISON, "u1", 1).subject, (9,))])
    assert table.standing(POISON) is Standing.SUSPECT


def test_two_incarnations_of_an_upstream_are_two_crashes():
    table = crashed(("u1", 1, [POISON]), ("u1", 2, [POISON]))
    assert table.standing(POISON) is Standing.QUARANTINED


def test_report_without_the_incarnation_is_no_second_crash():
    table = crashed(("u1", 7, [POISON]), ("u1", 0, [POISON]))
    assert table.standing(POISON) is Standing.SUSPECT
    table.crash("u2", 0, [POISON], 0)
    assert table.standing(POISON) is Standing.QUARANTINED


def test_suspect_does_not_run_beside_another_suspect():
    table = crashed(("u1", 1, [POISON, BYSTANDER]))
    assert not table.may_run(BYSTANDER, "u2", [POISON])
    assert table.may_run(BYSTANDER, "u2", [OTHER])


def test_suspect_runs_one_copy_at_a_time():
    assert not crashed(("u1", 1, [POISON])).may_run(POISON, "u2", [], copies_running=1)


def test_suspect_returns_to_the_crashed_upstream_only_if_there_is_no_other():
    table = crashed(("u1", 1, [POISON]))
    assert not table.may_run(POISON, "u1", [])
    assert not table.may_run(POISON, "u1", [], usable=["u1", "u2"])
    assert table.may_run(POISON, "u1", [], usable=["u1"])


def test_suspects_of_one_crash_get_upstreams_of_their_own_on_every_daemon():
    """Daemons that know only their own requests tried two suspects on the same upstream."""
    suspects, usable = [10, 11, 12, 13, 14], ["u1", "u2", "u3", "u4"]
    table = crashed(("u1", 1, suspects))

    def allowed(request):
        return [each for each in usable if table.may_run(request, each, [], usable=usable)]

    assert [allowed(each) for each in suspects] == [["u2"], ["u3"], ["u4"], [], []]
    table.completed(11, 5)
    assert allowed(10) == ["u2"]
    assert allowed(13) == []
    table.completed(10, 5)
    table.completed(12, 5)
    assert [allowed(13), allowed(14)] == [["u2"], ["u3"]]


def test_bystander_is_cleared_when_it_completes():
    table = crashed(("u1", 1, [POISON, BYSTANDER]))
    (fact,) = table.completed(BYSTANDER, 5)
    assert fact == Fact(FactKind.SUSPECT_CLEARED, Suspicion(BYSTANDER, "u1", 1).subject, (5,))
    assert table.standing(BYSTANDER) is Standing.CLEAR
    assert table.standing(POISON) is Standing.SUSPECT


def test_bystander_is_free_once_the_crash_is_explained():
    table = crashed(("u1", 1, [POISON, BYSTANDER]), ("u2", 1, [POISON, OTHER]))
    assert table.standing(BYSTANDER) is Standing.CLEAR
    assert table.standing(OTHER) is Standing.CLEAR
    assert table.standing(POISON) is Standing.QUARANTINED


def test_explained_crash_still_counts_when_another_follows():
    table = crashed(("u1", 1, [POISON, OTHER]), ("u2", 1, [POISON]), ("u3", 1, [OTHER]))
    assert table.standing(OTHER) is Standing.QUARANTINED


def test_crash_after_a_clearing_counts_anew():
    table = crashed(("u1", 1, [POISON]))
    table.completed(POISON, 5)
    table.crash("u2", 1, [POISON], 6)
    assert table.standing(POISON) is Standing.SUSPECT


@pytest.mark.parametrize("order", list(itertools.permutations(range(3))))
def test_cleared_suspicion_stays_cleared_in_any_order_of_facts(order):
    subject = Suspicion(BYSTANDER, "u1", 1).subject
    facts = [
        Fact(FactKind.SUSPECT, subject, (1,)),
        Fact(FactKind.SUSPECT_CLEARED, subject, (5,)),
        Fact(FactKind.SUSPECT, subject, (9,)),
    ]
    table = SuspectTable()
    table.apply([facts[i] for i in order])
    assert table.standing(BYSTANDER) is Standing.CLEAR


def test_suspicion_expires_after_ten_minutes():
    table = crashed(("u1", 1, [POISON]), ("u2", 1, [POISON]))
    table.expire(SUSPECT_LIFETIME_MS - 1)
    assert table.standing(POISON) is Standing.QUARANTINED
    table.expire(SUSPECT_LIFETIME_MS)
    assert table.standing(POISON) is Standing.CLEAR


def test_clearing_outlives_the_suspicion_in_the_store_too():
    store, table = FactStore(), SuspectTable()
    suspicions = table.crash("u1", 1, [BYSTANDER], 0)
    cleared = table.completed(BYSTANDER, 1)
    store.merge([*suspicions, *cleared])
    assert store.expire(SUSPECT_LIFETIME_MS) == suspicions
    assert store.get(FactKind.SUSPECT_CLEARED, cleared[0].subject) is not None


def test_subject_of_another_form_is_refused():
    with pytest.raises(ValueError, match="'x'"):
        Suspicion.from_subject("x")


def test_malformed_fact_does_not_stop_the_others():
    table = SuspectTable()
    good = Fact(FactKind.SUSPECT, Suspicion(POISON, "u1", 1).subject, (1,))
    table.apply([Fact(FactKind.SUSPECT, "x/y/z", (1,)), good])
    assert table.standing(POISON) is Standing.SUSPECT


@pytest.mark.parametrize("seed", range(20))
def test_poison_stops_two_upstreams_and_every_bystander_completes(seed):
    # Each daemon has its own table; facts reach all of them before a request is tried again.
    rng = random.Random(seed)
    tables = [SuspectTable() for _ in range(3)]
    poison, crashes, incarnations = 0, 0, dict.fromkeys(["u1", "u2", "u3", "u4"], 1)
    waiting = list(range(24))
    for _ in range(2000):
        if not waiting:
            break
        table, upstream = rng.choice(tables), rng.choice(sorted(incarnations))
        batch = []
        for request in list(waiting):
            if len(batch) < 4 and table.may_run(request, upstream, batch):
                batch.append(request)
                waiting.remove(request)
        if poison in batch:
            facts = table.crash(upstream, incarnations[upstream], batch, 0)
            incarnations[upstream] += 1
            crashes += 1
            waiting += batch
        else:
            facts = [fact for request in batch for fact in table.completed(request, 0)]
        for each in tables:
            each.apply(facts)
        waiting = [one for one in waiting if table.standing(one) is not Standing.QUARANTINED]
    assert crashes == 2, f"seed {seed}"
    assert waiting == [], f"seed {seed}"
    assert tables[0].standing(poison) is Standing.QUARANTINED
