"""Guards against answers with gaps, repeats or foreign text, and cut ones that look complete."""

import pytest

from skylarkmoor_standins.harness import HarnessError, get, wait_until

DAEMONS = ["entry-1", "entry-2"]
ENGINES = ["engine-1", "engine-2", "engine-3"]
HEALTHY = {
    "cut_streams": 0,
    "duplicate_chunks": 0.0,
    "crossed_chunks": 0.0,
    "truncate": False,
    "error_rate": 0.0,
    "frozen": False,
}


@pytest.fixture(scope="module")
def system(new_system, assistant):
    system = new_system()
    system.start_platform()
    system.start_engines(ENGINES, "--decode-ms", "10")
    system.start_daemons(DAEMONS)
    system.publish(assistant)
    system.wait_until_converged()
    return system


@pytest.fixture(autouse=True)
def _restore_system(system):
    yield
    stopped = [name for name in ENGINES if not system.processes.is_running(name)]
    system.start_engines(stopped, "--decode-ms", "10")
    for name in ENGINES:
        system.set_faults(name, **HEALTHY)
    system.wait_until_converged()


def chat_through_all_daemons(system, label, count=12, tokens=40):
    """Send prompts concurrently through both daemons and return the callers' results."""
    prompts = [f"{label} number {i} answer_tokens={tokens + i}" for i in range(count)]
    return [
        future.result()
        for future in [
            system.spawn(system.chat, DAEMONS[i % 2], prompt) for i, prompt in enumerate(prompts)
        ]
    ]


def assert_all_complete(chats):
    incomplete = [chat for chat in chats if not chat.is_complete]
    assert not incomplete, incomplete[0]


@pytest.mark.parametrize(
    "faults",
    [
        {"cut_streams": 7},
        {"duplicate_chunks": 0.4},
        {"crossed_chunks": 0.4},
        {"cut_streams": 11, "duplicate_chunks": 0.3, "crossed_chunks": 0.3},
    ],
    ids=["cut", "duplicated", "crossed", "all"],
)
def test_faulty_streams_of_every_engine_reach_the_callers_whole(system, faults):
    """A relay that trusts the engine's stream would pass on repeated, missing or foreign text."""
    for name in ENGINES:
        system.set_faults(name, **faults)
    assert_all_complete(chat_through_all_daemons(system, f"faulty streams {sorted(faults)}"))


def test_answers_of_an_engine_that_truncates_are_finished_elsewhere(system):
    """An answer without the engine's end marker is incomplete, however much of it was received."""
    system.set_faults("engine-1", truncate=True)
    assert_all_complete(chat_through_all_daemons(system, "truncated"))


def test_an_answer_that_nobody_can_finish_never_looks_whole(system):
    """An end marker after a truncated answer would make it look complete."""
    for name in ENGINES:
        system.set_faults(name, truncate=True)
    for chat in chat_through_all_daemons(system, "truncated everywhere", count=4, tokens=20):
        assert not chat.done, chat
        assert chat.error is not None, chat
        assert chat.error["outcome"] in ("ran", "unknown")
        assert chat.text.split() == expected_prefix(system, chat)


def test_an_answer_without_streaming_is_whole_in_spite_of_faults(system):
    """Without the checks that streams get, a collected answer would contain their faults."""
    for name in ENGINES:
        system.set_faults(name, cut_streams=9, duplicate_chunks=0.3, crossed_chunks=0.3)
    chats = [
        system.spawn(system.chat_without_streaming, "entry-1", f"collected {i}") for i in range(6)
    ]
    assert_all_complete([chat.result() for chat in chats])


def test_answers_survive_the_kill_of_their_engine(system):
    """Another engine must resume at the caller's position, or text is missing or repeated."""
    sent = [
        system.spawn(system.chat, DAEMONS[i % 2], f"killed number {i} answer_tokens=150")
        for i in range(6)
    ]
    system.processes.kill(wait_for_partial_answer(system))
    assert_all_complete([future.result() for future in sent])


def test_answers_survive_the_end_of_an_engine_that_answers_nothing_more(system):
    """An engine that hangs with open connections could block its callers for ever."""
    sent = [
        system.spawn(system.chat, DAEMONS[i % 2], f"frozen number {i} answer_tokens=120")
        for i in range(6)
    ]
    frozen = wait_for_partial_answer(system)
    system.processes.freeze(frozen)
    try:
        assert_all_complete([future.result() for future in sent])
    finally:
        system.processes.wake(frozen)


def test_an_answer_cut_off_by_the_end_of_every_engine_never_looks_whole(system):
    """With no engine left, the caller must get an error instead of an end marker."""
    prompt = "all gone answer_tokens=300"
    sent = system.spawn(system.chat, "entry-1", prompt, deadline_s=4.0)
    wait_for_partial_answer(system)
    for name in ENGINES:
        system.processes.kill(name)
    chat = sent.result()
    assert not chat.done
    assert chat.error is not None
    assert chat.error["outcome"] in ("ran", "unknown")
    assert chat.text.split() == expected_prefix(system, chat)


def wait_for_partial_answer(system):
    """Wait until an engine has generated part of an answer and return the name of the engine."""
    engines_with_partial_answer = []

    def any_partial_answer():
        engines_with_partial_answer[:] = [
            name for name in ENGINES if has_partial_answer(system, name)
        ]
        return bool(engines_with_partial_answer)

    wait_until(any_partial_answer, 10.0, "an engine has begun an answer")
    return engines_with_partial_answer[0]


def has_partial_answer(system, name):
    try:
        served = get(system.url(name, "/served"))[1]["served"]
    except HarnessError:
        return False
    return any(entry["end"] is None and entry["position"] >= 10 for entry in served)


def expected_prefix(system, chat):
    return system.expected_words(chat.prompt)[: len(chat.text.split())]
