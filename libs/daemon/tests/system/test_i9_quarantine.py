"""Guards the fleet against a request that crashes every upstream that runs it."""

import pytest

from skylarkmoor_standins.harness import wait_until

DAEMONS = ["entry-1", "entry-2", "entry-3"]
ENGINES = [f"engine-{i}" for i in range(1, 5)]
PLAINS = [f"plain-{i}" for i in range(1, 5)]
POISON = "poisonous"
# The design page: a request is stopped after two upstreams.
MOST_CRASHES = 2


@pytest.fixture(scope="module")
def system(new_system, orders, assistant):
    system = new_system()
    system.start_platform()
    faults = ("--faults", '{"crash_on": "poisonous"}')
    system.start_engines(ENGINES, "--decode-ms", "10", *faults)
    system.start_plains(PLAINS, "--service-ms", "50", *faults)
    system.start_daemons(DAEMONS)
    system.publish(orders)
    system.publish(assistant)
    system.wait_settled()
    return system


def crashed(system, names):
    return [name for name in names if not system.processes.is_running(name)]


def wait_crashes(system, names):
    """Wait until as many processes have ended as one request may crash."""
    what = f"{MOST_CRASHES} crashes"
    wait_until(lambda: len(crashed(system, names)) >= MOST_CRASHES, 3.0, what)


def replace(system, names, start):
    """Bring crashed upstreams back, as the platform would."""
    start(crashed(system, names), "--faults", '{"crash_on": "poisonous"}')
    system.wait_settled()


@pytest.fixture(autouse=True)
def _repaired(system):
    yield
    replace(system, ENGINES, system.start_engines)
    replace(system, PLAINS, system.start_plains)


def test_prompts_that_ran_beside_a_crash_complete_and_are_not_refused_later(system):
    """Whoever shared an engine with the cause must not pay for it."""
    prompts = [f"neighbour {i} answer_tokens=60" for i in range(16)]
    chats = [system.spawn(system.chat, DAEMONS[i % 3], prompt) for i, prompt in enumerate(prompts)]
    wait_until(lambda: count_running(system) >= 8, 10.0, "eight neighbours run")
    culprit = system.chat("entry-2", f"{POISON} neighbour")
    assert culprit.error is not None, culprit
    assert culprit.error["code"] == "quarantined", culprit
    for chat in chats:
        assert chat.result().whole, chat.result()
    assert len(crashed(system, ENGINES)) == MOST_CRASHES
    again = [
        system.spawn(system.chat, DAEMONS[(i + 1) % 3], prompt) for i, prompt in enumerate(prompts)
    ]
    for chat in again:
        assert chat.result().whole, chat.result()


def test_a_prompt_that_crashes_engines_is_stopped_after_two(system):
    """Without blame, retries and resends of one prompt would take down every engine."""
    prompt = f"{POISON} question"
    first = system.chat("entry-1", prompt)
    assert not first.done
    assert first.error is not None, first
    assert first.error["code"] == "quarantined", first
    wait_crashes(system, ENGINES)
    for daemon in ["entry-2", "entry-3", "entry-1", "entry-2"]:
        again = system.chat(daemon, prompt)
        assert again.error is not None, again
        assert again.error["code"] == "quarantined", again
    assert len(crashed(system, ENGINES)) == MOST_CRASHES


def count_running(system):
    return sum(entry["end"] is None for entry in system.served(*ENGINES))


def test_a_call_that_crashes_plain_services_is_stopped_after_two(system):
    """A call that may be repeated has retries, too."""
    body = {"item": POISON}
    first = system.stock("entry-1", body)
    assert first.code == "quarantined", first
    wait_crashes(system, PLAINS)
    for daemon in DAEMONS:
        assert system.stock(daemon, body).code == "quarantined"
    assert len(crashed(system, PLAINS)) == MOST_CRASHES


def test_an_order_that_crashes_a_service_is_not_sent_to_another(system):
    """Its outcome is unknown, so nothing may retry it."""
    key = system.new_key()
    body = {"item": POISON, "order": key}
    first = system.order("entry-1", key, body)
    assert first.outcome == "unknown", first
    for daemon in DAEMONS:
        assert system.order(daemon, key, body).outcome == "unknown"
    assert len(crashed(system, PLAINS)) == 1
