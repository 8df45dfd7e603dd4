"""Guards against violations of I1, I2, I3, I5 or I8 under combined faults not tested elsewhere."""

import copy
import random
import threading
import time

import pytest

from skylarkmoor_standins.harness import HarnessError, wait_until

SEED = 20261204
RUN_DURATION_S = 18.0
DAEMONS = ["entry-1", "entry-2", "entry-3"]
ENGINES = ["engine-1", "engine-2", "engine-3"]
PLAINS = ["plain-1", "plain-2"]
# The design page: an accepted document is in force everywhere within 7 s.
IN_FORCE_TIMEOUT_S = 7.0
# A call ends at its deadline of 10 s at the latest, and the daemon then answers at once.
FINAL_ANSWER_TIMEOUT_S = 20.0


@pytest.fixture(scope="module")
def system(new_system, orders, assistant):
    system = new_system()
    system.start_platform()
    system.start_engines(ENGINES, "--decode-ms", "8", "--max-batch", "4")
    system.start_plain_services(PLAINS, "--service-ms", "60")
    system.start_daemons(DAEMONS)
    system.publish(orders)
    system.publish(assistant)
    system.wait_until_converged()
    return system


class FaultInjector:
    """Injects random faults, one or two at a time, and repairs them."""

    def __init__(self, system, document, rng):
        self._system = system
        self._document = document
        self._rng = rng
        self._version_count = 0

    def step(self):
        """Inject one or two faults, wait, and repair them in reverse order."""
        fault_kinds = [
            self._kill_daemon,
            self._freeze_daemon,
            self._log_outage,
            self._lose_appends,
            self._kill_engine,
            self._break_streams,
            self._break_calls,
            self._publish,
        ]
        chosen = self._rng.sample(fault_kinds, self._rng.choice([1, 1, 2]))
        print("faults:", ", ".join(kind.__name__.strip("_") for kind in chosen))
        undo_actions = [kind() for kind in chosen]
        time.sleep(self._rng.uniform(0.3, 1.5))
        for undo in reversed(undo_actions):
            undo()
        time.sleep(self._rng.uniform(0.1, 0.6))

    def _kill_daemon(self):
        name = self._rng.choice(DAEMONS)
        self._system.processes.kill(name)
        return lambda: self._system.start_daemons([name])

    def _freeze_daemon(self):
        name = self._rng.choice(DAEMONS)
        if not self._system.processes.is_running(name):
            return lambda: None
        self._system.processes.freeze(name)
        return lambda: self._resume(name)

    def _resume(self, name):
        if self._system.processes.is_running(name):
            self._system.processes.wake(name)

    def _log_outage(self):
        self._system.set_faults("log", outage=True)
        return lambda: self._system.set_faults("log", outage=False)

    def _lose_appends(self):
        self._system.set_faults("log", lost_answers=self._rng.randint(1, 6))
        return lambda: self._system.set_faults("log", lost_answers=0)

    def _kill_engine(self):
        name = self._rng.choice(ENGINES)
        self._system.processes.kill(name)
        return lambda: self._system.start_engines([name], "--decode-ms", "8", "--max-batch", "4")

    def _break_streams(self):
        name = self._rng.choice(ENGINES)
        if not self._system.processes.is_running(name):
            return lambda: None
        self._system.set_faults(
            name,
            cut_streams=self._rng.randint(3, 12),
            duplicate_chunks=0.3,
            crossed_chunks=0.3,
            truncate=self._rng.random() < 0.3,
        )
        healthy = {"cut_streams": 0, "duplicate_chunks": 0, "crossed_chunks": 0, "truncate": False}
        return lambda: self._clear_faults(name, healthy)

    def _break_calls(self):
        name = self._rng.choice(PLAINS)
        self._system.set_faults(
            name, lost_answers=self._rng.randint(0, 3), error_rate=0.2, delay_ms=200
        )
        return lambda: self._clear_faults(name, {"lost_answers": 0, "error_rate": 0, "delay_ms": 0})

    def _clear_faults(self, name, faults):
        if self._system.processes.is_running(name):
            self._system.set_faults(name, **faults)

    def _publish(self):
        self._system.set_faults("log", outage=False, lost_answers=0)
        self._version_count += 1
        document = copy.deepcopy(self._document)
        name = f"version-{self._version_count}"
        document["routes"].append({"name": name, "tier": "gold", "deadline_ms": 5_000})
        self._system.publish(document)
        return lambda: None


class Callers:
    """Callers that send orders and completions until they are stopped, and keep all answers."""

    def __init__(self, system, rng):
        self.orders = []
        self.chats = []
        self._system = system
        self._stopped = threading.Event()
        seeds = [rng.random() for _ in range(9)]
        work = [self._order] * 3 + [self._order_concurrently] + [self._chat] * 5
        self._futures = [
            system.spawn(each, random.Random(seed), i)
            for i, (each, seed) in enumerate(zip(work, seeds, strict=True))
        ]

    def stop(self):
        self._stopped.set()
        for future in self._futures:
            future.result()

    def _order(self, rng, number):
        """Send orders one after the other, resending each until its answer is final."""
        for count in range(10_000):
            if self._stopped.is_set():
                return
            key = f"random-{number}-{count}"
            body = {"order": key}
            issued_ms = int(time.time() * 1_000)
            answers = []
            end_s = time.monotonic() + FINAL_ANSWER_TIMEOUT_S
            while time.monotonic() < end_s:
                daemon = rng.choice(DAEMONS)
                answers.append(self._system.order(daemon, key, body, issued_ms=issued_ms))
                if answers[-1].status == 200 or answers[-1].code == "upstream_failed":
                    break
                time.sleep(0.1)
            self.orders.append((body, answers, True))

    def _order_concurrently(self, rng, number):
        """Send each order concurrently through two daemons."""
        for count in range(10_000):
            if self._stopped.is_set():
                return
            key = f"random-{number}-{count}"
            body = {"order": key}
            issued_ms = int(time.time() * 1_000)
            sent = [
                self._system.spawn(self._system.order, daemon, key, body, issued_ms=issued_ms)
                for daemon in rng.sample(DAEMONS, 2)
            ]
            self.orders.append((body, [each.result() for each in sent], False))

    def _chat(self, rng, number):
        route = "everyday" if number % 2 else "notes"
        for count in range(10_000):
            if self._stopped.is_set():
                return
            tokens = rng.choice([10, 40, 120])
            prompt = f"random {number} {count} answer_tokens={tokens}"
            chat = self._system.chat(rng.choice(DAEMONS), prompt, route)
            self.chats.append((route, chat, time.time() * 1_000))
            if not chat.done:
                time.sleep(0.05)


class OffsetWatch:
    """Polls the document offset in force on each ready daemon and records every change."""

    def __init__(self, system):
        self.seen = {name: [] for name in DAEMONS}
        self._system = system
        self._stopped = threading.Event()
        self._future = system.spawn(self._run)

    def stop(self):
        self._stopped.set()
        self._future.result()

    def _run(self):
        while not self._stopped.wait(0.05):
            for name, seen in self.seen.items():
                try:
                    status = self._system.status(name)
                except HarnessError:
                    continue
                if status["ready"] and (not seen or seen[-1] != status["documents"]["orders"]):
                    seen.append(status["documents"]["orders"])


def test_answers_and_documents_hold_under_random_faults(system, orders):
    """Combined or repeated faults must violate none of the invariants."""
    print(f"seed: {SEED}")
    rng = random.Random(SEED)
    callers, watch = Callers(system, rng), OffsetWatch(system)
    faults = FaultInjector(system, orders, rng)
    end_s = time.monotonic() + RUN_DURATION_S
    try:
        while time.monotonic() < end_s:
            faults.step()
    finally:
        callers.stop()
        watch.stop()
    print(f"{len(callers.orders)} orders, {len(callers.chats)} completions")
    assert len(callers.orders) > 20
    assert len(callers.chats) > 20
    check_orders(system, callers.orders)
    check_chats(system, callers.chats)
    check_tiers(system, callers.chats)
    check_documents(system, watch.seen)


def check_orders(system, orders):
    """Check every answer against the services' own records (I1, I2)."""
    records = {}
    for call in system.calls(*PLAINS):
        records.setdefault(call["body_hash"], []).append(call)
    for body, answers, sequential in orders:
        ran = records.get(system.body_hash(body), [])
        assert len(ran) <= 1, (body, answers, ran)
        if any(answer.status == 200 for answer in answers):
            assert len(ran) == 1, (body, answers)
        for answer in answers:
            # Of two concurrent copies, one may run after the other was refused.
            if sequential and answer.outcome == "not_run":
                before = [call for call in ran if call["at_ms"] < answer.received_ms]
                assert before == [], (body, answers, ran)


def check_chats(system, chats):
    """Check every text against the one that the engines derive from the prompt (I5)."""
    for _, chat, _ in chats:
        if chat.done:
            assert chat.is_complete, chat
        else:
            words = chat.text.split()
            # The last word before a connection failure may be incomplete.
            assert words[:-1] == system.expected_words(chat.prompt)[: len(words)][:-1], chat


def check_tiers(system, chats):
    """Check that no top-tier request was shed while a lower-tier attempt ran (I3)."""
    lower = {system.prompt_hash(chat.prompt) for route, chat, _ in chats if route == "notes"}
    running = [entry for entry in system.served(*ENGINES) if entry["prompt_hash"] in lower]
    for route, chat, at_ms in chats:
        if route != "everyday" or chat.error is None or chat.error["code"] != "overloaded":
            continue
        lower_running = [
            entry
            for entry in running
            if entry["admitted_ms"] is not None
            and entry["admitted_ms"] < at_ms
            and (entry["ended_ms"] or at_ms + 1) > at_ms
        ]
        assert lower_running == [], chat


def check_documents(system, seen):
    """Check that offsets never decreased and that the last one is in force everywhere (I8)."""
    for name, offsets in seen.items():
        assert offsets == sorted(offsets), (name, offsets)
    last = system.offsets["orders"]
    wait_until(
        lambda: all(system.status(name)["documents"]["orders"] == last for name in DAEMONS),
        IN_FORCE_TIMEOUT_S,
        f"offset {last} is in force everywhere",
    )
