"""Guards calls with a key against running twice, and `not_run` against being untrue."""

import time

import pytest

from skylarkmoor_standins.harness import wait_until

DAEMONS = ["entry-1", "entry-2", "entry-3"]
PLAINS = ["plain-1", "plain-2"]
# The design page: a failure is noticed after six missed heartbeats of 500 ms, and a claim may be
# dispatched for 5 s. Resends after both must find the final state.
SETTLED_S = 12.0
DISPATCH_LIMIT_S = 5.0


@pytest.fixture(scope="module")
def system(new_system, orders):
    system = new_system()
    system.start_platform()
    system.start_plains(PLAINS, "--service-ms", "100")
    system.start_daemons(DAEMONS)
    # A later deadline leaves nothing but the dispatch limit to stop a holder that was paused.
    orders["routes"][0]["deadline_ms"] = 20_000
    system.publish(orders)
    system.wait_settled()
    return system


@pytest.fixture(autouse=True)
def _repaired(system):
    """Let every test start with all processes and without faults."""
    yield
    system.set_faults("log", outage=False, delay_ms=0, lost_answers=0)
    plains = [name for name in PLAINS if not system.processes.is_running(name)]
    system.start_plains(plains, "--service-ms", "100")
    for name in PLAINS:
        system.set_faults(name, delay_ms=0, lost_answers=0, error_rate=0.0)
    lost = [name for name in DAEMONS if not system.processes.is_running(name)]
    system.start_daemons(lost)
    system.wait_settled()


def runs(system, body):
    plains = [name for name in PLAINS if system.processes.is_running(name)]
    return len(system.calls_of(body, *plains))


def make_order(system, key=None):
    key = system.new_key() if key is None else key
    return key, {"item": "refill", "order": key}


def resend_until_final(system, daemon, key, body):
    """Resend as callers do, until the answer is more than a refusal for the time being."""
    answers = []

    def resent():
        answers.append(system.order(daemon, key, body))
        return answers[-1].status == 200 or answers[-1].code == "upstream_failed"

    wait_until(resent, SETTLED_S, f"a final answer to {key}, got {answers[-1:]}")
    return answers


def send_and_hold_claim(system, daemon, key, body):
    """Send an order, and return when its claim is in the log and its daemon does not know it.

    The log shows the claim after one delay, and the owner has read it back after two.
    """
    system.set_faults("log", delay_ms=900)
    sent = system.spawn(system.order, daemon, key, body)
    stream = f"claims-{system.partition(key)}"
    wanted = str(system.key_hash(key))
    wait_until(lambda: wanted in str(system.records(stream)), 5.0, "the claim is in the log")
    assert runs(system, body) == 0
    return sent


def test_an_order_sent_through_every_daemon_at_once_runs_once(system):
    """Each daemon could win a claim of its own if the log's order did not decide."""
    orders = [make_order(system) for _ in range(20)]
    sent = {
        key: [system.spawn(system.order, daemon, key, body) for daemon in DAEMONS]
        for key, body in orders
    }
    for key, body in orders:
        answers = [future.result() for future in sent[key]]
        assert [answer.status for answer in answers] == [200] * 3, answers
        assert len({str(answer.body["result"]) for answer in answers}) == 1
        assert runs(system, body) == 1


def test_a_daemon_killed_between_claim_and_dispatch_leaves_the_key_held(system):
    """A resend could run beside a holder that was only thought to be dead."""
    key, body = make_order(system, system.key_owned_by("entry-2", DAEMONS))
    sent = send_and_hold_claim(system, "entry-1", key, body)
    system.processes.kill("entry-1")
    system.set_faults("log", delay_ms=0)
    assert sent.result().status is None
    answers = resend_until_final(system, "entry-3", key, body)
    assert {answer.outcome for answer in answers} == {"unknown"}, answers
    assert runs(system, body) == 0


def test_a_daemon_killed_during_dispatch_leaves_the_outcome_unknown(system):
    """A resend must neither run again nor be told that the call did not run."""
    key, body = make_order(system)
    body["pad"] = "long"
    for name in PLAINS:
        system.set_faults(name, delay_ms=1_500)
    sent = system.spawn(system.order, "entry-1", key, body)
    wait_until(lambda: runs(system, body) == 1, 10.0, "the call runs")
    system.processes.kill("entry-1")
    assert sent.result().status is None
    for daemon in ("entry-2", "entry-3"):
        answers = resend_until_final(system, daemon, key, body)
        assert {answer.outcome for answer in answers} == {"unknown"}, answers
    assert runs(system, body) == 1


def test_a_daemon_frozen_past_its_limits_does_not_dispatch(system):
    """A holder that wakes up late must not act on a claim whose limit has passed."""
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
    assert runs(system, body) == 0
    system.wait_settled()
    answers = resend_until_final(system, "entry-3", key, body)
    assert runs(system, body) == (1 if answers[-1].status == 200 else 0), answers


def test_lost_answers_of_the_log_do_not_repeat_a_claim(system):
    """An owner that repeats an append blindly could win twice, or lose to itself."""
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
        assert runs(system, body) == 1


def test_an_outage_of_the_log_refuses_orders_and_serves_the_rest(system):
    """Without the log no key may be dispatched, and a held key may not look free."""
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
    assert runs(system, body) == 0
    system.set_faults("log", outage=False)
    assert resend_until_final(system, "entry-2", key, body)[-1].status == 200
    assert runs(system, body) == 1
    assert runs(system, done_body) == 1


def test_daemons_started_in_an_outage_do_not_take_a_held_key_for_free(system):
    """A new owner that answers before it has read the window would let a key run again."""
    orders = [make_order(system) for _ in range(6)]
    for key, body in orders:
        assert system.order("entry-1", key, body).status == 200
    system.set_faults("log", outage=True)
    for name in ("entry-2", "entry-3"):
        system.restart_daemon(name)
    system.wait_settled()
    for i, (key, body) in enumerate(orders):
        answer = system.order(DAEMONS[i % 3], key, body)
        assert answer.status == 200 or answer.outcome == "unknown", answer
    system.set_faults("log", outage=False)
    for i, (key, body) in enumerate(orders):
        answers = resend_until_final(system, DAEMONS[1 + i % 2], key, body)
        assert answers[-1].status == 200, answers
        assert runs(system, body) == 1


def test_orders_survive_the_kill_of_their_partition_owner(system):
    """The next owner must find the claims of the killed one and give the same verdicts."""
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
        assert first.status == 200 or first.outcome != "not_run" or runs(system, body) == 0
        answers = resend_until_final(system, "entry-1", key, body)
        assert answers[-1].status == 200, (first, answers)
        assert runs(system, body) == 1


def test_a_plain_service_killed_during_a_call_leaves_it_unknown(system):
    """The call may have run, so nothing may send it to the other service."""
    key, body = make_order(system)
    for name in PLAINS:
        system.set_faults(name, delay_ms=1_500)
    sent = system.spawn(system.order, "entry-1", key, body)
    wait_until(lambda: runs(system, body) == 1, 10.0, "the call runs")
    killed = next(name for name in PLAINS if system.calls_of(body, name))
    other = next(name for name in PLAINS if name != killed)
    system.processes.kill(killed)
    first = sent.result()
    assert (first.code, first.outcome) == ("upstream_failed", "unknown"), first
    for daemon in DAEMONS:
        assert system.order(daemon, key, body).outcome == "unknown"
    assert system.calls_of(body, other) == []


def test_orders_go_to_the_other_service_when_provably_nothing_was_sent(system):
    """A refused connection sent nothing; an outcome other than `not_run` would be a lost order."""
    system.processes.kill("plain-1")
    for i in range(8):
        key, body = make_order(system)
        answer = system.order(DAEMONS[i % 3], key, body)
        if answer.status != 200:
            assert answer.outcome == "not_run", answer
            assert runs(system, body) == 0
            answer = system.order(DAEMONS[i % 3], key, body)
        assert answer.status == 200, answer
        assert len(system.calls_of(body, "plain-2")) == 1


def test_a_lost_answer_of_the_service_is_unknown_and_never_sent_again(system):
    """The service ran the call; only its answer is missing."""
    for name in PLAINS:
        system.set_faults(name, lost_answers=1)
    key, body = make_order(system)
    first = system.order("entry-1", key, body)
    assert (first.code, first.outcome) == ("upstream_failed", "unknown")
    for daemon in DAEMONS:
        assert system.order(daemon, key, body).outcome == "unknown"
    assert runs(system, body) == 1


def test_a_key_with_another_body_is_refused_and_runs_nothing(system):
    """A second body under the same key is a caller's mistake, not a resend."""
    key, body = make_order(system)
    other = {**body, "item": "warmer"}
    assert system.order("entry-1", key, body).status == 200
    for daemon in DAEMONS:
        answer = system.order(daemon, key, other)
        assert (answer.status, answer.code, answer.outcome) == (422, "key_reused", "not_run")
    assert runs(system, other) == 0
    assert runs(system, body) == 1


def test_an_expired_key_is_refused_as_unknown(system):
    """Its first copy may have run before the dedup window of 600 s."""
    key, body = make_order(system)
    long_ago_ms = int(time.time() * 1_000) - 700_000
    for daemon in DAEMONS:
        answer = system.order(daemon, key, body, issued_ms=long_ago_ms)
        assert (answer.code, answer.outcome) == ("key_expired", "unknown")
    assert runs(system, body) == 0
