"""Guards against one request that crashes every upstream through retries and resends."""

import pytest

from skylarkmoor_standins.harness import wait_until

DAEMONS = ["entry-1", "entry-2", "entry-3"]
ENGINES = [f"engine-{i}" for i in range(1, 5)]
PLAINS = [f"plain-{i}" for i in range(1, 5)]
CRASHING_TEXT = "poisonous"
# The design page: a request is quarantined after it has crashed two upstreams.
MAX_CRASHES = 2


@pytest.fixture(scope="module")
def system(new_system, orders, assistant):
    system = new_system()
    system.start_platform()
    faults = ("--faults", '{"crash_on": "poisonous"}')
    system.start_engines(ENGINES, "--decode-ms", "10", *faults)
    system.start_plain_services(PLAINS, "--service-ms", "50", *faults)
    system.start_daemons(DAEMONS)
    system.publish(orders)
    system.publish(assistant)
    system.wait_until_converged()
    return system


def crashed_processes(system, names):
    return [name for name in names if not system.processes.is_running(name)]


def wait_crashes(system, names):
    """Wait until as many processes have crashed as one request may crash."""
    what = f"{MAX_CRASHES} crashes"
    wait_until(lambda: len(crashed_processes(system, names)) >= MAX_CRASHES, 3.0, what)


def restart_crashed(system, names, start):
    """Restart crashed upstreams, as the platform would."""
    start(crashed_processes(system, names), "--faults", '{"crash_on": "poisonous"}')
    system.wait_until_converged()


@pytest.fixture(autouse=True)
def _restore_system(system):
    yield
    restart_crashed(system, ENGINES, system.start_engines)
    restart_crashed(system, PLAINS, system.start_plain_services)


def test_prompts_that_ran_beside_a_crash_complete_and_are_not_refused_later(system):
    """Blame for a crash must not fall on requests that only ran on the same engine."""
    prompts = [f"neighbour {i} answer_tokens=60" for i in range(16)]
    chats = [system.spawn(system.chat, DAEMONS[i % 3], prompt) for i, prompt in enumerate(prompts)]
    wait_until(lambda: count_running_attempts(system) >= 8, 10.0, "eight neighbours run")
    crashing = system.chat("entry-2", f"{CRASHING_TEXT} neighbour")
    assert crashing.error is not None, crashing
    assert crashing.error["code"] == "quarantined", crashing
    for chat in chats:
        assert chat.result().is_complete, chat.result()
    assert len(crashed_processes(system, ENGINES)) == MAX_CRASHES
    again = [
        system.spawn(system.chat, DAEMONS[(i + 1) % 3], prompt) for i, prompt in enumerate(prompts)
    ]
    for chat in again:
        assert chat.result().is_complete, chat.result()


def test_a_prompt_that_crashes_engines_is_stopped_after_two(system):
    """Without quarantine, retries and resends of one prompt would crash every engine."""
    prompt = f"{CRASHING_TEXT} question"
    first = system.chat("entry-1", prompt)
    assert not first.done
    assert first.error is not None, first
    assert first.error["code"] == "quarantined", first
    wait_crashes(system, ENGINES)
    for daemon in ["entry-2", "entry-3", "entry-1", "entry-2"]:
        again = system.chat(daemon, prompt)
        assert again.error is not None, again
        assert again.error["code"] == "quarantined", again
    assert len(crashed_processes(system, ENGINES)) == MAX_CRASHES


def count_running_attempts(system):
    return sum(entry["end"] is None for entry in system.served(*ENGINES))


def test_a_call_that_crashes_plain_services_is_stopped_after_two(system):
    """Retries of an idempotent call would crash every service without quarantine."""
    body = {"item": CRASHING_TEXT}
    first = system.stock("entry-1", body)
    assert first.code == "quarantined", first
    wait_crashes(system, PLAINS)
    for daemon in DAEMONS:
        assert system.stock(daemon, body).code == "quarantined"
    assert len(crashed_processes(system, PLAINS)) == MAX_CRASHES


def test_an_order_that_crashes_a_service_is_not_sent_to_another(system):
    """Its outcome is unknown, so a retry could run it twice and crash another service."""
    key = system.new_key()
    body = {"item": CRASHING_TEXT, "order": key}
    first = system.order("entry-1", key, body)
    assert first.outcome == "unknown", first
    for daemon in DAEMONS:
        assert system.order(daemon, key, body).outcome == "unknown"
    assert len(crashed_processes(system, PLAINS)) == 1
