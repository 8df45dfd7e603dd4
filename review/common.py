"""Stand-ins and processes that the cases share: a store, servers, gateways and a record.

Everything listens on loopback addresses. The standard library is all that is needed.
"""

import base64
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import traceback
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST = "shop.example"
KEY = "key-of-depots"
# The values of the site gwres-refill.
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "max_stretch_ms": 5000,
    "retry_ratio": 0.2,
    "retry_window_s": 10,
    "retry_slack": 58,
    "quota_window_s": 8,
    "quota_overshoot": 0.1,
    "quota_slack": 140000,
    "exposure_share": 0.1,
    "exposure_slack": 50,
    "rollback_ms": 5000,
    "recover_s": 12,
    "pass_ms": 120,
    "reuse_window_s": 10,
}
BEAT_S = 1.2
START_S = 20


class CannotRun(Exception):
    """The case could not be set up, so that it says nothing on the rule."""


class Record:
    """The file that tells what was sent, answered and run."""

    def __init__(self, path):
        self._file = open(path, "w")
        self._lock = threading.Lock()
        self._began = time.monotonic()

    def write(self, text):
        with self._lock:
            # Threads of stand-ins may outlast the case.
            if not self._file.closed:
                self._file.write(f"{time.monotonic() - self._began:8.3f} s  {text}\n")
                self._file.flush()

    def close(self):
        with self._lock:
            self._file.close()


def route(name, prefix, kind, service, **fields):
    """Return a route of a configuration."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 800,
        "goal_ms": 100,
        "priority": 2,
        "service": service,
        "max_attempts": 1,
        "public": False,
        "resumable": False,
    } | fields


def configuration(version, routes, **fields):
    """Return a configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": "llm", "health_path": "/health", "max_conns": 370, "engine": {"slots": 9}},
            {"name": "orders", "health_path": "/health", "max_conns": 110},
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [
            {
                "name": "depots",
                "api_keys": [KEY],
                "priority": 1,
                "unit": "tokens",
                "plain_tokens": 200,
                "rate_per_s": 94968,
                "burst": 94968,
            }
        ],
    } | fields


def read_head(stream):
    """Return the first line and the headers of a message, or None at its end."""
    first = stream.readline(65536)
    if not first:
        return None
    headers = {}
    while True:
        line = stream.readline(65536)
        if line in (b"\r\n", b"\n", b""):
            return first.decode("latin-1").rstrip(), headers
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()


class Listener:
    """Accepts connections on a loopback address and serves each in a thread."""

    def __init__(self, address, port=0):
        self.host = address
        self.port = port
        self._open = set()
        self._lock = threading.Lock()
        self._socket = None
        self._may_accept = threading.Event()
        self._may_accept.set()
        self._fillers = []
        self.listen()

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    def listen(self):
        """Begin to accept connections, again after `refuse`."""
        listening = socket.socket()
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.bind((self.host, self.port))
        listening.listen(512)
        self.port = listening.getsockname()[1]
        self._socket = listening
        threading.Thread(target=self._accept, args=(listening,), daemon=True).start()

    def refuse(self):
        """Refuse new connections; open ones live on."""
        listening, self._socket = self._socket, None
        if listening is not None:
            # Ends the thread that waits in accept.
            listening.shutdown(socket.SHUT_RDWR)
            listening.close()

    def fall_silent(self):
        """Accept nothing for a while, with a full queue: the kernel drops opening packets."""
        self._may_accept.clear()
        self._socket.listen(0)
        # The first ends the call of accept that is waiting, the others fill the queue.
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((self.host, self.port))
            self._fillers.append(filler)
            time.sleep(0.02)

    def go_on(self):
        """Accept connections again."""
        self._socket.listen(512)
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        self._may_accept.set()

    def reset_open(self):
        """Reset all open connections."""
        with self._lock:
            connections = list(self._open)
        for each in connections:
            try:
                each.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                each.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def close(self):
        self.refuse()
        self.reset_open()

    def serve(self, connection, stream):
        """Serve one connection until it ends."""
        raise NotImplementedError

    def _accept(self, listening):
        while True:
            self._may_accept.wait()
            try:
                connection, _ = listening.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._run, args=(connection,), daemon=True).start()

    def _run(self, connection):
        with self._lock:
            self._open.add(connection)
        try:
            with connection, connection.makefile("rb") as stream:
                self.serve(connection, stream)
        except OSError:
            pass
        finally:
            with self._lock:
                self._open.discard(connection)


class Store(Listener):
    """The platform's store: keyed topics with one partition each."""

    def __init__(self):
        self.topics = {}
        self.changed = threading.Condition()
        super().__init__("127.0.0.1")

    def write(self, topic, key, value):
        """Append a record, a deletion if the value is None, and return its offset."""
        data = None if value is None else value
        if data is not None and not isinstance(data, bytes):
            data = json.dumps(data).encode()
        with self.changed:
            records = self.topics.setdefault(topic, [])
            records.append((key, data))
            self.changed.notify_all()
            return len(records) - 1

    def serve(self, connection, stream):
        while True:
            head = read_head(stream)
            if head is None:
                return
            method, target, _ = head[0].split(" ", 2)
            body = stream.read(int(head[1].get("content-length", "0")))
            url = urlsplit(target)
            query = {name: values[0] for name, values in parse_qs(url.query).items()}
            time.sleep(0.004)
            status, content = self._answer(method, url.path, query, body)
            connection.sendall(
                f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: 1\r\n"
                f"Content-Length: {len(content)}\r\n\r\n".encode() + content
            )

    def _answer(self, method, path, query, body):
        topic = query.get("topic", "")
        if (method, path) == ("POST", "/log-append"):
            content = body[4:]
            end = 1 + content[0]
            offset = self.write(topic, content[1:end].decode(), content[end:] or None)
            return 200, json.dumps({"offset": offset, "end_offset": offset + 1}).encode()
        if (method, path) == ("GET", "/log-newest"):
            with self.changed:
                records = list(self.topics.get(topic, []))
            newest = {key: (offset, data) for offset, (key, data) in enumerate(records)}
            items = [
                {"key": key, "value": base64.b64encode(data).decode(), "offset": offset}
                for key, (offset, data) in newest.items()
                if data is not None
            ]
            page = {"items": items, "more_pages": False, "end_offset": len(records)}
            return 200, json.dumps(page).encode()
        if (method, path) == ("GET", "/log-read"):
            start = int(query["from"])
            until = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
            with self.changed:
                while True:
                    records = self.topics.setdefault(topic, [])
                    left_s = until - time.monotonic()
                    if len(records) > start or left_s <= 0:
                        break
                    self.changed.wait(left_s)
                if start > len(records):
                    return 410, json.dumps({"first_offset": 0}).encode()
                found, end = records[start:], len(records)
            return 200, struct.pack(">QQ", end, 0) + b"".join(_pack(*each) for each in found)
        return 404, b"{}"


def _pack(key, data):
    content = bytes([len(key)]) + key.encode() + (data or b"")
    return struct.pack(">I", len(content)) + content


class Server(Listener):
    """A server that keeps an entry in the store and answers each request by a function.

    Attributes
    ----------
    run : callable
        Called with this server, the connection and the request; it returns whether the connection
        is kept.
    runs : list of dict
        The requests that it has begun to run.
    """

    def __init__(self, case, name, service, address, run, **entry):
        self.case = case
        self.name = name
        self.service = service
        self.run = run
        self.runs = []
        self.born = int(time.time() * 1000)
        self.entry = {"zone": "caerdydd", "version": "v1", "slots": 9} | entry
        self.state = "ready"
        self.beats = True
        self._seq = 0
        super().__init__(address)
        threading.Thread(target=self._beat, daemon=True).start()

    def beat(self):
        """Write the entry to the store."""
        self._seq += 1
        values = {
            "service": self.service,
            "address": self.address,
            "state": self.state,
            "cold_remaining_ms": 0,
            "seq": self._seq,
            "born": self.born,
        }
        self.case.store.write("keyed.servers", self.name, values | self.entry)

    def _beat(self):
        while not self.case.ended.is_set():
            if self.beats:
                self.beat()
            self.case.ended.wait(BEAT_S)

    def serve(self, connection, stream):
        while True:
            head = read_head(stream)
            if head is None:
                return
            method, target, _ = head[0].split(" ", 2)
            body = stream.read(int(head[1].get("content-length", "0")))
            headers = head[1]
            if headers.get("skylarkmoor-expect-instance", self.name) != self.name:
                connection.sendall(
                    b"HTTP/1.1 421 Misdirected Request\r\n"
                    + f"Skylarkmoor-Instance-Id: {self.name}\r\nContent-Length: 0\r\n\r\n".encode()
                )
                continue
            request = {
                "id": headers.get("skylarkmoor-request-id", ""),
                "method": method,
                "path": target,
                "headers": headers,
                "body": body,
                "at": time.monotonic(),
            }
            self.runs.append(request)
            self.case.record.write(
                f"server {self.name} ({self.service}) runs {request['id']}: {method} {target}"
            )
            if not self.run(self, connection, request):
                return

    def answer_head(self, request, status="200 OK", **headers):
        """Return the head of an answer to a request."""
        values = {
            "Skylarkmoor-Request-Id": request["id"],
            "Skylarkmoor-Response-Seal": f"seal-{request['id']}",
        } | {name.replace("_", "-"): str(value) for name, value in headers.items()}
        lines = "".join(f"{name}: {value}\r\n" for name, value in values.items())
        return f"HTTP/1.1 {status}\r\n{lines}\r\n".encode()


def answer_plain(server, connection, request):
    """Answer with a short body."""
    body = f"{server.name} did {request['path']}".encode()
    head = server.answer_head(request, Content_Length=len(body))
    connection.sendall(head if request["method"] == "HEAD" else head + body)
    return True


class Gateway:
    """A process of the gateway, started with the command of the deploy file."""

    def __init__(self, case, number):
        self.case = case
        self.name = f"front-{number}"
        self.ip = f"127.0.0.{number}"
        self.starts = 0
        self.process = None
        self.start()

    def start(self):
        self.starts += 1
        base = self.case.base_port
        settings = {
            "node": self.name,
            "role": "gateway",
            "class": "front",
            "serves": ["front"],
            "ip": self.ip,
            "zone": "caerdydd",
            "region": "cymru",
            "zones": {"caerdydd": "cymru"},
            "listen": {"front": f"{self.ip}:{base}", "ready": f"{self.ip}:{base + 1}"},
            "port_range": [base + 3, base + 18],
            "bootstrap": self.starts == 1,
            "limits": {"cpu_share": 0.537, "cores": 2, "memory_mb": 300, "max_fds": 4100},
            "data_dir": None,
            "discovery": "platform",
            "beat_interval_ms": 1200,
            "contracts": ["base", "drain", "config", "retry", "recover", "engine", "stream"],
            "tolerate": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "platform": {
                "address": self.case.store.address,
                "form": "log",
                "writes_per_s": 400,
                "reads_per_s": 2000,
            },
        }
        path = self.case.folder / f"{self.name}.yaml"
        path.write_text(json.dumps(settings))
        self.log = self.case.folder / f"{self.name}-{self.starts}.log"
        with open(self.log, "wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "skylarkmoor_adapter.main"]
                + ["--metrics-port", str(base + 2)],
                cwd=ROOT,
                env={
                    "PATH": os.environ.get("PATH", ""),
                    "HOME": os.environ.get("HOME", ""),
                    "PYTHONPATH": str(ROOT / "target/deps"),
                    "SKYLARKMOOR_SETTINGS": str(path),
                },
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def lines(self):
        """Return the records that it has logged."""
        found = []
        for line in self.log.read_bytes().splitlines():
            try:
                found.append(json.loads(line))
            except ValueError:
                continue
        return found

    def is_ready(self):
        """Return whether it answers 200 at its ready address."""
        try:
            with socket.create_connection((self.ip, self.case.base_port + 1), 1) as connection:
                connection.sendall(b"GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
                return connection.recv(100).split(b" ")[1:2] == [b"200"]
        except OSError:
            return False

    def wait_until_ready(self, servers):
        """Wait until it is ready and knows the servers and its peers."""
        until = time.monotonic() + START_S
        while time.monotonic() < until:
            if self.process.poll() is not None:
                raise CannotRun(f"{self.name} ended with {self.process.returncode}")
            known = {each.get("upstream") for each in self.lines()}
            if self.is_ready() and {each.name for each in servers} <= known:
                return
            time.sleep(0.1)
        raise CannotRun(f"{self.name} was not ready in {START_S} s")

    def send_signal(self, number):
        self.case.record.write(f"{signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    def end(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
        self.process.wait()


class Answer:
    """What a client has read as the answer to a request.

    Attributes
    ----------
    status : int or None
        None if no head came.
    complete : bool
        Whether the framing says that the body is whole.
    """

    def __init__(self):
        self.status = None
        self.headers = {}
        self.body = b""
        self.complete = False
        self.error = ""
        self.took_s = 0.0
        # Monotonic time at which the answer or its channel ended.
        self.ended_s = 0.0

    def __str__(self):
        ending = "complete" if self.complete else f"cut ({self.error})"
        sealed = "sealed" if "skylarkmoor-response-seal" in self.headers else "no seal"
        return f"{self.status}, {sealed}, {len(self.body)} bytes, {ending}, {self.took_s:.3f} s"


class Client:
    """A client's connection to a gateway."""

    def __init__(self, case, gateway, timeout_s=20.0, receive_bytes=None):
        self.case = case
        self.gateway = gateway
        self.socket = socket.socket()
        self.socket.settimeout(timeout_s)
        if receive_bytes is not None:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        self.socket.connect((gateway.ip, case.base_port))
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.stream = self.socket.makefile("rb", buffering=65536)

    def send(self, name, method, path, body=b"", deadline_ms=1500, **headers):
        """Send a request."""
        values = {
            "Host": HOST,
            "Skylarkmoor-Request-Id": name,
            "Skylarkmoor-Deadline-Ms": str(deadline_ms),
            "Authorization": f"Token {KEY}",
        } | {key.replace("_", "-"): value for key, value in headers.items()}
        if body:
            values["Content-Length"] = str(len(body))
        lines = "".join(f"{key}: {value}\r\n" for key, value in values.items())
        self.case.record.write(f"client sends {name}: {method} {path} to {self.gateway.name}")
        self.method = method
        self.began = time.monotonic()
        self.socket.sendall(f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode() + body)

    def receive(self, name, on_data=None):
        """Read the answer and write it to the record."""
        answer = Answer()
        try:
            head = read_head(self.stream)
            if head is None:
                answer.error = "closed"
            else:
                answer.status, answer.headers = int(head[0].split(" ")[1]), head[1]
                if self.method == "HEAD":
                    answer.complete = True
                else:
                    self._read_body(answer, on_data)
        except (OSError, ValueError) as error:
            answer.error = f"{type(error).__name__}: {error}"
        answer.ended_s = time.monotonic()
        answer.took_s = answer.ended_s - self.began
        self.case.record.write(f"client gets {name}: {answer}")
        return answer

    def ask(self, name, method, path, **fields):
        """Send a request and return its answer."""
        self.send(name, method, path, **fields)
        return self.receive(name)

    def close(self):
        self.stream.close()
        self.socket.close()

    def _read_body(self, answer, on_data):
        if "chunked" in answer.headers.get("transfer-encoding", ""):
            while True:
                line = self.stream.readline(100)
                if not line.endswith(b"\n"):
                    answer.error = "closed"
                    return
                size = int(line.split(b";")[0], 16)
                data = self.stream.read(size)
                answer.body += data
                if len(data) < size or len(self.stream.read(2)) < 2:
                    answer.error = "closed"
                    return
                if size == 0:
                    answer.complete = True
                    return
                if on_data is not None:
                    on_data(answer)
        size = int(answer.headers.get("content-length", "0"))
        while len(answer.body) < size:
            data = self.stream.read1(min(65536, size - len(answer.body)))
            if not data:
                answer.error = "closed"
                return
            answer.body += data
            if on_data is not None:
                on_data(answer)
        answer.complete = True


class Case:
    """The processes and stand-ins of one case.

    Attributes
    ----------
    trouble : bool
        Whether the disruption happens.
    """

    def __init__(self, folder):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(folder / "record.txt")
        self.ended = threading.Event()
        self._temporary = tempfile.TemporaryDirectory(prefix="skylarkmoor-review-")
        self.folder = Path(self._temporary.name)
        self.store = Store()
        self.servers = []
        self.gateways = []
        self.base_port = 0
        self.record.write(f"disruption: {'yes' if self.trouble else 'no'}")

    def server(self, name, service, run=answer_plain, **entry):
        """Start a server."""
        address = f"127.0.1.{len(self.servers) + 1}"
        found = Server(self, name, service, address, run, **entry)
        self.servers.append(found)
        return found

    def start_gateways(self, count):
        """Start gateways and wait until they are ready and have met."""
        ips = [f"127.0.0.{number}" for number in range(2, 2 + count)]
        self.base_port = free_base_port(ips)
        self.gateways = [Gateway(self, number) for number in range(2, 2 + count)]
        for gateway in self.gateways:
            gateway.wait_until_ready(self.servers)
        time.sleep(2.5)
        return self.gateways

    def end(self):
        self.ended.set()
        for gateway in self.gateways:
            gateway.end()
        for server in self.servers:
            server.close()
        self.store.close()
        self.record.close()
        if os.environ.get("KEEP"):
            print(self.folder)
            self._temporary._finalizer.detach()
        else:
            self._temporary.cleanup()


def free_base_port(ips):
    """Return the first of 20 ports in a row that are free on all addresses."""
    bases = list(range(18200, 28000, 40))
    # Cases that run side by side begin at different ports.
    begin = os.getpid() % len(bases)
    for base in bases[begin:] + bases[:begin]:
        try:
            for ip in ips:
                for port in range(base, base + 20):
                    with socket.socket() as probe:
                        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                        probe.bind((ip, port))
        except OSError:
            continue
        return base
    raise CannotRun("no free ports")


def main(path, play):
    """Play a case and exit with 0 if the rule held, 1 if it was broken, 2 if it could not run.

    Parameters
    ----------
    play : callable
        Called with the case; it returns the breaches of the rule, empty if it held.
    """
    case = Case(Path(path).resolve().parent)
    status = 2
    try:
        found = play(case)
        for each in found:
            case.record.write(f"BROKEN: {each}")
        if not found:
            case.record.write("the rule held")
        status = 1 if found else 0
    except Exception as error:
        case.record.write(f"could not run: {error!r}")
        case.record.write(traceback.format_exc().replace(str(ROOT), "."))
    finally:
        case.end()
    print({0: "held", 1: "broken", 2: "could not run"}[status])
    sys.exit(status)
