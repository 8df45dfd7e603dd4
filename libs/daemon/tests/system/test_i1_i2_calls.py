"""Guards against a call with a key that runs twice, and against `not_run` for one that ran."""

import time

import pytest

from skylarkmoor_standins.harness import wait_until

DAEMONS = ["entry-1", "entry-2", "entry-3"]
PLAINS = ["plain-1", "plain-2"]
# The design page: a failure is detected after six missed heartbeats of 500 ms, and a claim may be
# dispatched for 5 s. A resend after both periods must get the final outcome.
FINAL_ANSWER_TIMEOUT_S = 12.0
DISPATCH_LIMIT_S = 5.0


@pytest.fixture(scope="module")
def system(new_system, orders):
    system = new_system()
    system.start_platform()
    system.start_plain_services(PLAINS, "--service-ms", "100")
    system.start_daemons(DAEMONS)
    # The deadline lies after the dispatch limit, so that only the limit can stop a paused holder.
    orders["routes"][0]["deadline_ms"] = 20_000
    system.publish(orders)
    system.wait_until_converged()
    return system


@pytest.fixture(autouse=True)
def _restore_system(system):
    """Remove injected faults and restart killed processes after each test."""
    yield
    system.set_faults("log", outage=False, delay_ms=0, lost_answers=0)
    plains = [name for name in PLAINS if not system.processes.is_running(name)]
    system.start_plain_services(plains, "--service-ms", "100")
    for name in PLAINS:
        system.set_faults(name, delay_ms=0, lost_answers=0, error_rate=0.0)
    stopped = [name for name in DAEMONS if not system.processes.is_running(name)]
    system.start_daemons(stopped)
    system.wait_until_converged()


def count_runs(system, body):
    plains = [name for name in PLAINS if system.processes.is_running(name)]
    return len(system.calls_with_body(body, *plains))


def make_order(system, key=None):
    key = system.new_key() if key is None else key
    return key, {"item": "refill", "order": key}


def resend_until_final(system, daemon, key, body):
    """Resend an order until its answer is final, and return all answers."""
    answers = []

    def is_final_answer():
        answers.append(system.order(daemon, key, body))
        return answers[-1].status == 200 or answers[-1].code == "upstream_failed"

    wait_until(
        is_final_answer, FINAL_ANSWER_TIMEOUT_S, f"a final answer to {key}, got {answers[-1:]}"
    )
    return answers


def send_and_hold_claim(system, daemon, key, body):
    """Send an order and return once its claim is in the log but not yet known to its daemon.

    The log stores the claim after one delay; the partition owner reads it back after a second one.
    """
    system.set_faults("log", delay_ms=900)
    sent = system.spawn(system.order, daemon, key, body)
    stream = f"claims-{system.partition(key)}"
    expected_hash = str(system.key_hash(key))
    wait_until(lambda: expected_hash in str(system.records(stream)), 5.0, "the claim is in the log")
    assert count_runs(system, body) == 0
    return sent


def test_an_order_sent_through_every_daemon_at_once_runs_once(system):
    """Without the order of the log to decide, each daemon could win its own claim."""
    orders = [make_order(system) for _ in range(20)]
    sent = {
        key: [system.spawn(system.order, daemon, key, body) for daemon in DAEMONS]
        for key, body in orders
    }
    for key, body in orders:
        answers = [future.result() for future in sent[key]]
        assert [answer.status for answer in answers] == [200] * 3, answers
        assert len({str(answer.body["result"]) for answer in answers}) == 1
        assert count_runs(system, body) == 1


def test_a_daemon_killed_between_claim_and_dispatch_leaves_the_key_held(system):
    """A dispatched resend could run concurrently with a holder wrongly taken for dead."""
    key, body = make_order(system, system.key_owned_by("entry-2", DAEMONS))
    sent = send_and_hold_claim(system, "entry-1", key, body)
    system.processes.kill("entry-1")
    system.set_faults("log", delay_ms=0)
    assert sent.result().status is None
    answers = resend_until_final(system, "entry-3", key, body)
    assert {answer.outcome for answer in answers} == {"unknown"}, answers
    assert count_runs(system, body) == 0


def test_a_daemon_killed_during_dispatch_leaves_the_outcome_unknown(system):
    """A resend must neither run the call again nor be answered with `not_run`."""
    key, body = make_order(system)
    body["pad"] = "long"
    for name in PLAINS:
        system.set_faults(name, delay_ms=1_500)
    sent = system.spawn(system.order, "entry-1", key, body)
    wait_until(lambda: count_runs(system, body) == 1, 10.0, "the call runs")
    system.processes.kill("entry-1")
    assert sent.result().status is None
    for daemon in ("entry-2", "entry-3"):
        answers = resend_until_final(system, daemon, key, body)
        assert {answer.outcome for answer in answers} == {"unknown"}, answers
    assert count_runs(system, body) == 1


def test_a_daemon_frozen_past_its_limits_does_not_dispatch(system):
    """A holder that resumes after the dispatch limit must not act on its claim."""
    key, body = make_order(system, system.key_owned_by("entry-2", DAEMONS))
    sent = send_and_hold_claim(system, "entry-1", key, body)
    system.processes.freeze("entry-1")
    frozen_s = time.monotonic()
    system.set_faults("log", delay_ms=0)
    meanwhile = resend_until_final(system, "entry-3", key, body)
    assert {answer.outcome for answer in meanwhile} == {"unknown"}, meanwhile
    time.sleep(max(0.0, DISPATCH_LIMIT_S + 1.0 - (time.monotonic() - frozen_s)))
    system.processes.wake("entry-1")
    late = sent.result()
    assert late.status != 200, late
    assert count_runs(system, body) == 0
    system.wait_until_converged()
    answers = resend_until_final(system, "entry-3", key, body)
    assert count_runs(system, body) == (1 if answers[-1].status == 200 else 0), answers


def test_lost_answers_of_the_log_do_not_repeat_a_claim(system):
    """An owner that blindly retries an append could win twice, or lose to its own first append."""
    system.set_faults("log", lost_answers=8)
    orders = [make_order(system) for _ in range(12)]
    sent = [
        (key, body, system.spawn(system.order, DAEMONS[i % 3], key, body))
        for i, (key, body) in enumerate(orders)
    ]
    for key, body, future in sent:
        first = future.result()
        assert first.status == 200 or first.outcome == "unknown", first
        answers = [first]
        if first.status != 200:
            answers += resend_until_final(system, "entry-2", key, body)
        assert answers[-1].status == 200, answers
        assert count_runs(system, body) == 1


def test_an_outage_of_the_log_refuses_orders_and_serves_the_rest(system):
    """Without the log, no key may be dispatched and no held key may be taken for free."""
    done, done_body = make_order(system)
    assert system.order("entry-1", done, done_body).status == 200
    system.set_faults("log", outage=True)
    key, body = make_order(system)
    for daemon in DAEMONS:
        refused = system.order(daemon, key, body)
        assert (refused.code, refused.outcome) == ("log_unavailable", "unknown")
        again = system.order(daemon, done, done_body)
        assert again.status == 200 or again.outcome == "unknown", again
    assert system.stock("entry-2", {"item": "refill"}).status == 200
    assert count_runs(system, body) == 0
    system.set_faults("log", outage=False)
    assert resend_until_final(system, "entry-2", key, body)[-1].status == 200
    assert count_runs(system, body) == 1
    assert count_runs(system, done_body) == 1


def test_daemons_started_in_an_outage_do_not_take_a_held_key_for_free(system):
    """An owner that answers before it has read the dedup window would let a key run again."""
    orders = [make_order(system) for _ in range(6)]
    for key, body in orders:
        assert system.order("entry-1", key, body).status == 200
    system.set_faults("log", outage=True)
    for name in ("entry-2", "entry-3"):
        system.restart_daemon(name)
    system.wait_until_converged()
    for i, (key, body) in enumerate(orders):
        answer = system.order(DAEMONS[i % 3], key, body)
        assert answer.status == 200 or answer.outcome == "unknown", answer
    system.set_faults("log", outage=False)
    for i, (key, body) in enumerate(orders):
        answers = resend_until_final(system, DAEMONS[1 + i % 2], key, body)
        assert answers[-1].status == 200, answers
        assert count_runs(system, body) == 1


def test_orders_survive_the_kill_of_their_partition_owner(system):
    """The next owner must read the claims of the killed one and decide them in the same way."""
    orders = [make_order(system, system.key_owned_by("entry-2", DAEMONS)) for _ in range(6)]
    system.set_faults("log", delay_ms=500)
    sent = [
        system.spawn(system.order, ("entry-1", "entry-3")[i % 2], key, body)
        for i, (key, body) in enumerate(orders)
    ]
    time.sleep(0.2)
    system.processes.kill("entry-2")
    system.set_faults("log", delay_ms=0)
    for (key, body), future in zip(orders, sent, strict=True):
        first = future.result()
        assert first.status == 200 or first.outcome != "not_run" or count_runs(system, body) == 0
        answers = resend_until_final(system, "entry-1", key, body)
        assert answers[-1].status == 200, (first, answers)
        assert count_runs(system, body) == 1


def test_a_plain_service_killed_during_a_call_leaves_it_unknown(system):
    """The call may have run, so it must not be retried on the other instance."""
    key, body = make_order(system)
    for name in PLAINS:
        system.set_faults(name, delay_ms=1_500)
    sent = system.spawn(system.order, "entry-1", key, body)
    wait_until(lambda: count_runs(system, body) == 1, 10.0, "the call runs")
    killed = next(name for name in PLAINS if system.calls_with_body(body, name))
    other = next(name for name in PLAINS if name != killed)
    system.processes.kill(killed)
    first = sent.result()
    assert (first.code, first.outcome) == ("upstream_failed", "unknown"), first
    for daemon in DAEMONS:
        assert system.order(daemon, key, body).outcome == "unknown"
    assert system.calls_with_body(body, other) == []


def test_orders_go_to_the_other_service_when_provably_nothing_was_sent(system):
    """Nothing is sent on a refused connection; an outcome other than `not_run` loses the order."""
    system.processes.kill("plain-1")
    for i in range(8):
        key, body = make_order(system)
        answer = system.order(DAEMONS[i % 3], key, body)
        if answer.status != 200:
            assert answer.outcome == "not_run", answer
            assert count_runs(system, body) == 0
            answer = system.order(DAEMONS[i % 3], key, body)
        assert answer.status == 200, answer
        assert len(system.calls_with_body(body, "plain-2")) == 1


def test_a_lost_answer_of_the_service_is_unknown_and_never_sent_again(system):
    """The service ran the call and only its answer was lost, so a retry would run it twice."""
    for name in PLAINS:
        system.set_faults(name, lost_answers=1)
    key, body = make_order(system)
    first = system.order("entry-1", key, body)
    assert (first.code, first.outcome) == ("upstream_failed", "unknown")
    for daemon in DAEMONS:
        assert system.order(daemon, key, body).outcome == "unknown"
    assert count_runs(system, body) == 1


def test_a_key_with_another_body_is_refused_and_runs_nothing(system):
    """A reused key with a different body is an error of the caller; neither body may run for it."""
    key, body = make_order(system)
    other = {**body, "item": "warmer"}
    assert system.order("entry-1", key, body).status == 200
    for daemon in DAEMONS:
        answer = system.order(daemon, key, other)
        assert (answer.status, answer.code, answer.outcome) == (422, "key_reused", "not_run")
    assert count_runs(system, other) == 0
    assert count_runs(system, body) == 1


def test_an_expired_key_is_refused_as_unknown(system):
    """The first copy may have run before the dedup window of 600 s, so `not_run` could be false."""
    key, body = make_order(system)
    long_ago_ms = int(time.time() * 1_000) - 700_000
    for daemon in DAEMONS:
        answer = system.order(daemon, key, body, issued_ms=long_ago_ms)
        assert (answer.code, answer.outcome) == ("key_expired", "unknown")
    assert count_runs(system, body) == 0
