"""Guards against a shutdown that cuts answers, and a forced one that reports false outcomes."""

import time

import pytest

from skylarkmoor_standins.harness import get, wait_until

# Each test stops one of these; the last one keeps running.
DAEMONS = ["entry-1", "entry-2", "entry-3", "entry-4", "entry-9"]
ENGINES = ["engine-1", "engine-2"]
PLAINS = ["plain-1", "plain-2"]
# Exit status of a daemon that was stopped by the second signal.
EXIT_CODE_FORCED_STOP = 3


@pytest.fixture(scope="module")
def system(new_system, orders, assistant):
    system = new_system()
    system.start_platform()
    system.start_engines(ENGINES, "--decode-ms", "10", "--max-batch", "4")
    system.start_plain_services(PLAINS, "--service-ms", "100")
    system.start_daemons(DAEMONS)
    system.publish(orders)
    system.publish(assistant)
    system.wait_until_converged()
    return system


@pytest.fixture(autouse=True)
def _reset_faults(system):
    yield
    for name in PLAINS:
        system.set_faults(name, delay_ms=0, capacity=None)


def begin_streams(system, daemon, label, count, tokens=150):
    """Start streams and wait until two of them run; more may wait, as the capacity is learnt."""
    chats = [
        system.spawn(system.chat, daemon, f"{label} number {i} answer_tokens={tokens}")
        for i in range(count)
    ]
    wait_until(lambda: len(running_attempts(system)) >= 2, 10.0, "two streams run")
    return chats


def running_attempts(system):
    return [entry for entry in system.served(*ENGINES) if entry["end"] is None]


def begin_order(system, daemon):
    key = system.new_key()
    body = {"item": "refill", "order": key}
    sent = system.spawn(system.order, daemon, key, body)
    wait_until(lambda: system.calls_with_body(body, *PLAINS), 10.0, "the order runs")
    return key, body, sent


def was_run_by_engine(system, chat):
    wanted = system.prompt_hash(chat.prompt)
    return any(entry["prompt_hash"] == wanted for entry in system.served(*ENGINES))


def assert_whole_or_not_run(system, chat):
    """Check that a completion is complete, or was refused as `not_run` and never ran."""
    if chat.is_complete:
        return
    assert chat.error is not None, chat
    assert chat.error["outcome"] == "not_run", chat
    assert not was_run_by_engine(system, chat), chat


def test_streams_and_orders_end_whole_after_the_first_signal(system):
    """A graceful shutdown that cuts work in progress would lose answers at every restart."""
    for name in PLAINS:
        system.set_faults(name, delay_ms=1_500)
    chats = begin_streams(system, "entry-1", "drained", count=6)
    _, body, order = begin_order(system, "entry-1")
    system.terminate("entry-1")
    wait_until(lambda: get(system.url("entry-1", "/readyz"))[0] == 503, 3.0, "entry-1 is not ready")
    assert system.status("entry-1")["state"] == "draining"
    assert sum(system.status("entry-1")["held"].values()) >= 1
    refused = system.chat("entry-1", "too late")
    assert (refused.error["code"], refused.error["outcome"]) == ("draining", "not_run")
    for future in chats:
        assert_whole_or_not_run(system, future.result())
    assert order.result().status == 200
    assert len(system.calls_with_body(body, *PLAINS)) == 1
    assert system.processes.exit_code("entry-1", 15.0) == 0


def test_waiting_requests_are_finished_or_refused_as_not_run(system):
    """The caller of a queued request that is dropped silently cannot know whether it ran."""
    prompts = [f"crowd number {i} answer_tokens=60" for i in range(24)]
    chats = [system.spawn(system.chat, "entry-2", prompt) for prompt in prompts]
    wait_until(lambda: len(running_attempts(system)) >= 4, 10.0, "some of the streams run")
    system.terminate("entry-2")
    for future in chats:
        assert_whole_or_not_run(system, future.result())
    assert system.processes.exit_code("entry-2", 20.0) == 0


def test_the_second_signal_gives_every_caller_a_truthful_outcome(system):
    """After a false `not_run` for a call in progress, the caller would run it a second time."""
    for name in PLAINS:
        system.set_faults(name, delay_ms=4_000)
    chats = begin_streams(system, "entry-3", "forced", count=4, tokens=400)
    key, body, order = begin_order(system, "entry-3")
    system.terminate("entry-3")
    wait_until(lambda: system.status("entry-3")["state"] == "draining", 3.0, "entry-3 drains")
    system.terminate("entry-3")
    begun_count = 0
    for future in chats:
        chat = future.result()
        assert not chat.done, chat
        assert chat.error is not None, chat
        was_run = was_run_by_engine(system, chat)
        assert chat.error["outcome"] in (
            ("ran", "unknown") if was_run else ("not_run", "unknown")
        ), chat
        begun_count += was_run
    assert begun_count >= 2
    assert order.result().outcome == "unknown", order.result()
    assert system.processes.exit_code("entry-3", 10.0) == EXIT_CODE_FORCED_STOP
    again = system.order("entry-9", key, body)
    assert again.outcome == "unknown", again
    assert len(system.calls_with_body(body, *PLAINS)) == 1


def test_a_forced_stop_tells_waiting_orders_apart_from_dispatched_ones(system):
    """One outcome for all orders would contradict the records of the service for some of them."""
    for name in PLAINS:
        system.set_faults(name, capacity=1, delay_ms=3_000)
    # The daemons learn the reduced capacity from the reports, which they poll every second.
    time.sleep(1.5)
    bodies = {key: {"order": key} for key in (system.new_key() for _ in range(30))}
    sent = {key: system.spawn(system.order, "entry-4", key, body) for key, body in bodies.items()}
    wait_until(lambda: count_runs(system, bodies) >= 2, 10.0, "the first orders run")
    system.terminate("entry-4")
    wait_until(lambda: system.status("entry-4")["state"] == "draining", 3.0, "entry-4 drains")
    system.terminate("entry-4")
    answers = {key: future.result() for key, future in sent.items()}
    assert system.processes.exit_code("entry-4", 10.0) == EXIT_CODE_FORCED_STOP
    for key, answer in answers.items():
        records = system.calls_with_body(bodies[key], *PLAINS)
        assert len(records) <= 1, (key, records)
        if answer.status != 200:
            assert answer.outcome in ("not_run", "unknown"), answer
            assert answer.outcome != "not_run" or not records, (answer, records)
    outcomes = [answer.outcome for answer in answers.values()]
    assert "unknown" in outcomes
    assert "not_run" in outcomes


def count_runs(system, bodies):
    return sum(len(system.calls_with_body(body, *PLAINS)) for body in bodies.values())
