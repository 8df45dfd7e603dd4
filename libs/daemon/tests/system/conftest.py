"""Fixtures that run a complete system as real processes on loopback and inject faults."""

import contextlib
import copy
import json
import signal
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from typing import Any

import pytest

from skylarkmoor_core.hashing import hash64, rendezvous_owner
from skylarkmoor_standins.engine_text import answer_tokens, answer_word
from skylarkmoor_standins.harness import (
    Deadline,
    HarnessError,
    Processes,
    get,
    post,
    run_module,
    stream_events,
    wait_until,
)
from skylarkmoor_standins.plain_model import body_text

# Time limit of one file's system, so that a hanging test fails without holding up the folder.
_FILE_LIMIT_S = 150.0
_STANDIN_MODULE = "skylarkmoor_standins.main"
_OPERATOR_CODE = "from skylarkmoor_operator.main import main; main()"
_CUSTOMER = "depot"
# Number of log streams over which claims are distributed by the hash of their key.
_PARTITIONS = 16

_CUSTOMERS = [
    {"name": name, "requests_per_s": 10_000, "max_waiting": 1_000} for name in ("depot", "council")
]

ASSISTANT = {
    "service": "assistant",
    "kind": "engine",
    "version": "v1",
    "tiers": [{"name": "gold", "rank": 0}, {"name": "bulk", "rank": 1}],
    "routes": [
        {"name": "everyday", "tier": "gold", "deadline_ms": 30_000},
        {"name": "notes", "tier": "bulk", "deadline_ms": 30_000},
    ],
    "customers": _CUSTOMERS,
}
ORDERS = {
    "service": "orders",
    "kind": "plain",
    "version": "v1",
    "tiers": [{"name": "gold", "rank": 0}],
    "routes": [
        {"name": "order", "tier": "gold", "idempotent": False, "deadline_ms": 10_000},
        {"name": "stock", "tier": "gold", "deadline_ms": 10_000},
    ],
    "customers": _CUSTOMERS,
}


@dataclass(frozen=True)
class CallResult:
    """Response to a call; `status` is None if the connection failed."""

    status: int | None
    body: Any = None
    received_ms: int = 0

    @property
    def code(self) -> str | None:
        return self.body["error"]["code"] if self._has_error() else None

    @property
    def outcome(self) -> str | None:
        return self.body["error"]["outcome"] if self._has_error() else None

    def _has_error(self) -> bool:
        return isinstance(self.body, dict) and "error" in self.body


@dataclass
class ChatResult:
    """Result of a completion as the caller received it."""

    prompt: str
    text: str = ""
    done: bool = False
    error: dict[str, Any] | None = None
    # Error text if the stream could not be opened or failed.
    failure: str = ""
    first_text_s: float | None = None

    @property
    def is_complete(self) -> bool:
        return self.done and self.text.split() == expected_words(self.prompt)


@dataclass
class System:
    """Platform services, upstreams and daemons of one test file."""

    processes: Processes
    addresses: dict[str, str] = field(default_factory=dict)
    failure_domains: dict[str, str] = field(default_factory=dict)
    daemons: list[str] = field(default_factory=list)
    services: dict[str, str] = field(default_factory=dict)
    offsets: dict[str, int] = field(default_factory=dict)
    pool: ThreadPoolExecutor = field(default_factory=lambda: ThreadPoolExecutor(64))
    key_count: int = 0

    def url(self, name, path=""):
        return f"http://{self.addresses[name]}{path}"

    def start_platform(self, *log_arguments):
        self.processes.start(
            "log", _STANDIN_MODULE, "log", "--appends-per-s", "1000", *log_arguments
        )
        self.processes.start("hosts", _STANDIN_MODULE, "hosts", "--lag-ms", "200")
        for name in ("log", "hosts"):
            self.addresses[name] = self.processes.ready(name)

    def start_engines(self, names, *arguments, service="assistant"):
        for name in names:
            self.processes.start(
                name, _STANDIN_MODULE, "engine", "--report-lag-ms", "100", *arguments
            )
        self._register_upstreams(names, service)

    def start_plain_services(self, names, *arguments, service="orders"):
        for name in names:
            self.processes.start(name, _STANDIN_MODULE, "plain", *arguments)
        self._register_upstreams(names, service)

    def start_daemons(self, names):
        for name in names:
            arguments = {
                "--host": name,
                "--failure-domain": self.failure_domains.setdefault(name, f"domain-{name[-1]}"),
                "--http-address": "127.0.0.1:0",
                "--peer-address": "127.0.0.1:0",
                "--log-url": self.url("log"),
                "--hosts-url": self.url("hosts"),
            }
            flags = [part for pair in arguments.items() for part in pair]
            self.processes.start(name, "skylarkmoor_daemon.main", *flags)
        entries = []
        for name in names:
            ready = self.processes.ready(name)
            self.addresses[name] = ready["http"]
            entries.append({**self._host_entry(name, "entry"), "peer_address": ready["peer"]})
            if name not in self.daemons:
                self.daemons.append(name)
        self.change_hosts(add=entries)

    def change_hosts(self, **change):
        status, body = post(self.url("hosts", "/hosts"), change)
        assert status == 200, body

    def publish(self, document, based_on="last", author="test"):
        """Append a document to the configuration stream of the log and return its offset."""
        service = document["service"]
        base = self.offsets.get(service) if based_on == "last" else based_on
        record = {
            "type": "DocumentPublished",
            "service": service,
            "document": document,
            "based_on": base,
            "author": author,
        }
        status, body = post(self.url("log", "/streams/config/records"), record)
        assert status == 200, body
        self.offsets[service] = body["offset"]
        return body["offset"]

    def run_skylarkmoorctl(self, *arguments, timeout_s=25.0):
        """Run ``skylarkmoorctl`` to its end."""
        platform = ["--log-url", self.url("log"), "--hosts-url", self.url("hosts")]
        return run_module(_OPERATOR_CODE, [*platform, *arguments], timeout_s)

    def records(self, stream):
        status, body = get(self.url("log", f"/streams/{stream}/records?from=0"))
        assert status == 200, body
        return body["records"]

    def status(self, daemon):
        status, body = get(self.url(daemon, "/admin/status"), 3.0)
        assert status == 200, body
        return body

    def wait_until_converged(self, daemons=None, max_wait_s=15.0):
        """Wait until the daemons are ready and know each other and all running upstreams."""
        names = self.daemons if daemons is None else daemons
        for name in names:
            what = f"{name} is ready and knows its peers"
            wait_until(lambda name=name: self._has_converged(name, names), max_wait_s, what)

    def _has_converged(self, name, names):
        if get(self.url(name, "/readyz"), 3.0)[0] != 200:
            return False
        status = self.status(name)
        if set(status["peers"]) < set(names) - {name}:
            return False
        known = {
            upstream
            for service in status["services"].values()
            for upstream, state in service["upstreams"].items()
            if state["incarnation"] is not None
        }
        running = {name for name in self.services if self.processes.is_running(name)}
        return known >= running

    def set_faults(self, name, **faults):
        status, body = post(self.url(name, "/faults"), faults)
        assert status == 200, body

    def calls(self, *names):
        """Return the plain services' own records of the calls that they ran."""
        return [call for name in names for call in get(self.url(name, "/calls"))[1]["calls"]]

    def calls_with_body(self, body, *names):
        """Return the plain services' own records of the calls with this body."""
        expected_hash = self.body_hash(body)
        return [call for call in self.calls(*names) if call["body_hash"] == expected_hash]

    def body_hash(self, body):
        """Return the hash that identifies a body in the records of plain services."""
        return hash64(body_text(body))

    def served(self, *names):
        """Return the engines' own records of the attempts that they received."""
        return [entry for name in names for entry in get(self.url(name, "/served"))[1]["served"]]

    def new_key(self):
        self.key_count += 1
        return f"key-{self.key_count}"

    def key_hash(self, key):
        return hash64("orders", _CUSTOMER, key)

    def partition(self, key):
        return self.key_hash(key) % _PARTITIONS

    def key_owned_by(self, owner, daemons):
        """Return a new key whose partition `owner` owns if exactly `daemons` are live."""
        while True:
            key = self.new_key()
            if rendezvous_owner(f"claims-{self.partition(key)}", daemons) == owner:
                return key

    def order(self, daemon, key, body, route="order", issued_ms=None, timeout_s=30.0):
        issued_ms = wall_ms() if issued_ms is None else issued_ms
        headers = {"X-Customer": _CUSTOMER, "Idempotency-Key": f'"{key}"; issued={issued_ms}'}
        try:
            status, answer = post(self.url(daemon, f"/v1/call/{route}"), body, timeout_s, headers)
        except HarnessError as error:
            return CallResult(None, str(error), wall_ms())
        return CallResult(status, answer, wall_ms())

    def stock(self, daemon, body, timeout_s=20.0):
        headers = {"X-Customer": _CUSTOMER}
        try:
            status, answer = post(self.url(daemon, "/v1/call/stock"), body, timeout_s, headers)
        except HarnessError as error:
            return CallResult(None, str(error), wall_ms())
        return CallResult(status, answer, wall_ms())

    def chat(self, daemon, prompt, route="everyday", timeout_s=30.0, deadline_s=None):
        """Stream a completion to its end and return what was received."""
        chat = ChatResult(prompt)
        body = {
            "model": route,
            "messages": [{"role": "user", "content": prompt}],
            "stream": True,
        }
        start_s = time.monotonic()
        headers = {"X-Customer": _CUSTOMER}
        if deadline_s is not None:
            headers["X-Deadline-Ms"] = str(wall_ms() + int(deadline_s * 1_000))
        url = self.url(daemon, "/v1/chat/completions")
        try:
            for data in stream_events(url, body, headers, timeout_s):
                self._apply_event(chat, data, start_s)
        except HarnessError as error:
            chat.failure = str(error)
            with contextlib.suppress(ValueError, IndexError):
                chat.error = json.loads(chat.failure[chat.failure.index("{") :])["error"]
        return chat

    def chat_without_streaming(self, daemon, prompt, route="everyday", timeout_s=30.0):
        """Request a completion without streaming and return what was received."""
        chat = ChatResult(prompt)
        body = {"model": route, "messages": [{"role": "user", "content": prompt}]}
        url = self.url(daemon, "/v1/chat/completions")
        try:
            status, answer = post(url, body, timeout_s, {"X-Customer": _CUSTOMER})
        except HarnessError as error:
            chat.failure = str(error)
            return chat
        if status == 200:
            chat.done = True
            chat.text = answer["choices"][0]["message"]["content"]
        else:
            chat.error = answer["error"]
        return chat

    def _apply_event(self, chat, data, start_s):
        if data == "[DONE]":
            chat.done = True
            return
        event = json.loads(data)
        if "error" in event:
            chat.error = event["error"]
            return
        text = event["choices"][0]["delta"].get("content") or ""
        if text and chat.first_text_s is None:
            chat.first_text_s = time.monotonic() - start_s
        chat.text += text

    def expected_words(self, prompt):
        return expected_words(prompt)

    def prompt_hash(self, prompt):
        """Return the hash that identifies a caller's message in the records of engines."""
        return hash64(" ".join(f"user: {prompt}".split()))

    def spawn(self, work, *arguments, **named):
        """Run `work` in a background thread and return its future."""
        return self.pool.submit(work, *arguments, **named)

    def restart_daemon(self, name):
        if self.processes.is_running(name):
            self.processes.kill(name)
        self.start_daemons([name])

    def terminate(self, name):
        self.processes.signal(name, signal.SIGTERM)

    def _register_upstreams(self, names, service):
        entries = []
        for name in names:
            self.addresses[name] = self.processes.ready(name)
            self.services[name] = service
            self.failure_domains.setdefault(name, f"domain-{name[-1]}")
            entries.append({**self._host_entry(name, "upstream"), "service": service})
        self.change_hosts(add=entries)

    def _host_entry(self, name, kind):
        return {
            "host": name,
            "kind": kind,
            "address": self.addresses[name],
            "failure_domain": self.failure_domains[name],
        }


def wall_ms():
    return int(time.time() * 1_000)


def expected_words(prompt, max_tokens=1_024):
    """Return the words of an engine's complete answer to a caller's message."""
    words = f"user: {prompt}".split()
    text_hash = hash64(" ".join(words))
    token_count = answer_tokens(words, text_hash, max_tokens)
    return [answer_word(text_hash, position) for position in range(token_count)]


@pytest.fixture(scope="module")
def new_system(tmp_path_factory):
    """Create systems without processes; their processes are killed at the end of the file."""
    systems = []

    def make():
        folder = tmp_path_factory.mktemp("logs")
        systems.append(System(Processes(folder, Deadline(_FILE_LIMIT_S))))
        return systems[-1]

    yield make
    for system in systems:
        system.processes.kill_all()
        system.pool.shutdown(wait=True, cancel_futures=True)


@pytest.fixture(scope="module")
def assistant():
    return copy.deepcopy(ASSISTANT)


@pytest.fixture(scope="module")
def orders():
    return copy.deepcopy(ORDERS)


@pytest.fixture(autouse=True)
def _print_logs_on_failure(request):
    """Print the last log lines of all processes if the test failed."""
    yield
    report = getattr(request.node, "call_report", None)
    if report is not None and report.failed and "system" in request.fixturenames:
        request.getfixturevalue("system").processes.print_log_tails()


@pytest.hookimpl(hookwrapper=True)
def pytest_runtest_makereport(item, call):
    outcome = yield
    if call.when == "call":
        item.call_report = outcome.get_result()
