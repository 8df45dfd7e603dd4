"""Guards against shedding a request of a higher tier while lower-tier work runs."""

import time

import pytest

from skylarkmoor_standins.harness import wait_until

DAEMONS = ["entry-1", "entry-2", "entry-3"]
ENGINES = ["engine-1", "engine-2"]
MAX_BATCH = 3
MAX_WAITING = 8


@pytest.fixture(scope="module")
def system(new_system, assistant):
    system = new_system()
    system.start_platform()
    system.start_engines(ENGINES, "--decode-ms", "10", "--max-batch", str(MAX_BATCH))
    system.start_daemons(DAEMONS)
    # Small enough that a burst fills the queue unless lower-tier work is preempted.
    assistant["limits"] = {"max_waiting": MAX_WAITING}
    system.publish(assistant)
    system.wait_until_converged()
    return system


@pytest.fixture(autouse=True)
def _wait_until_idle(system):
    """Wait after each test until the engines are idle."""
    yield
    wait_until(lambda: not unfinished_attempts(system), 30.0, "the engines are idle")


def unfinished_attempts(system):
    return [entry for entry in system.served(*ENGINES) if entry["end"] is None]


def saturate(system, daemon, label, count, tokens=150):
    """Saturate the engines with lower-tier streams through one daemon."""
    chats = [
        system.spawn(system.chat, daemon, f"{label} {i} answer_tokens={tokens}", "notes")
        for i in range(count)
    ]
    wait_until(lambda: is_saturated(system, daemon), 10.0, "lower-tier streams run and others wait")
    return chats


def is_saturated(system, daemon):
    """Return whether requests wait and one attempt per engine runs; the capacity is learnt."""
    counts = system.status(daemon)["services"]["assistant"]
    return sum(counts["waiting"]) > 0 and len(unfinished_attempts(system)) >= len(ENGINES)


def chat_with_end_time(system, daemon, prompt, tokens=20):
    chat = system.chat(daemon, f"{prompt} answer_tokens={tokens}")
    return chat, time.time() * 1_000


def lower_attempts_running_at(system, lower, at_ms):
    """Return the lower-tier attempts that were running on an engine at `at_ms`."""
    hashes = {system.prompt_hash(chat.prompt) for chat in lower}
    return [
        entry
        for entry in system.served(*ENGINES)
        if entry["prompt_hash"] in hashes
        and entry["admitted_ms"] is not None
        and entry["admitted_ms"] < at_ms
        and (entry["ended_ms"] or at_ms + 1) > at_ms
    ]


def assert_none_shed_while_lower_runs(system, upper, lower):
    for chat, at_ms in upper:
        if chat.is_complete:
            continue
        assert chat.error is not None, chat
        if chat.error["code"] == "overloaded":
            assert lower_attempts_running_at(system, lower, at_ms) == [], chat
        else:
            pytest.fail(f"completion is neither whole nor shed: {chat}")


def test_a_burst_that_fits_is_served_beside_lower_work_of_another_daemon(system):
    """The daemon with the burst cannot preempt streams that it did not start itself."""
    lower = saturate(system, "entry-2", "long notes", count=8)
    upper = [system.spawn(chat_with_end_time, system, "entry-1", f"urgent {i}") for i in range(6)]
    upper = [future.result() for future in upper]
    lower = [future.result() for future in lower]
    refused = [chat for chat, _ in upper if not chat.is_complete]
    assert not refused, refused[0]
    incomplete = [chat for chat in lower if not chat.is_complete]
    assert not incomplete, incomplete[0]


def test_lasting_load_is_not_shed_while_lower_work_runs(system):
    """A refused request could have used any slot that the lower tier holds.

    The load exceeds the capacity of the engines and fills the queue, but slowly enough that the
    lower tier can be preempted first.
    """
    lower = saturate(system, "entry-2", "filling notes", count=8, tokens=200)
    upper = []
    for i in range(30):
        upper.append(system.spawn(chat_with_end_time, system, "entry-1", f"lasting {i}", 50))
        time.sleep(0.06)
    upper = [future.result() for future in upper]
    lower = [future.result() for future in lower]
    assert_none_shed_while_lower_runs(system, upper, lower)
    assert_complete_or_shed(lower)


def test_bursts_through_every_daemon_are_not_shed_while_lower_work_runs(system):
    """Queued lower-tier requests of the same daemon must be displaced as well."""
    lower = saturate(system, "entry-3", "mixed notes", count=8, tokens=200)
    lower += [
        system.spawn(system.chat, daemon, f"more notes {i} answer_tokens=100", "notes")
        for i in range(4)
        for daemon in ("entry-1", "entry-2")
    ]
    time.sleep(0.3)
    upper = [
        system.spawn(chat_with_end_time, system, daemon, f"wave {i} of {daemon}", 40)
        for i in range(MAX_WAITING)
        for daemon in DAEMONS
    ]
    upper = [future.result() for future in upper]
    lower = [future.result() for future in lower]
    assert_none_shed_while_lower_runs(system, upper, lower)
    assert_complete_or_shed(lower)


def assert_complete_or_shed(lower):
    """Check that each lower-tier stream was completed or shed, also after a preemption."""
    for chat in lower:
        if not chat.is_complete:
            assert chat.error is not None, chat
            assert chat.error["code"] == "overloaded", chat
