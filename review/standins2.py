"""Stand-ins that the scripts of the second review share: store, settings, gateways, raw sockets.

Only the standard library is used. All addresses are loopback addresses.
"""

import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import urllib.error
import urllib.request
from contextlib import suppress
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BROKEN, HELD, NOT_RUN = 1, 0, 2

# Those of gwres-refill.toml.
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
    "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000,
    "rollback_slack_ms": 250, "max_stretch_ms": 5000, "revoke_strict": False, "revoke_ms": 5000,
    "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 58, "quota_window_s": 8,
    "quota_overshoot": 0.1, "quota_slack": 140000, "exposure_share": 0.1, "exposure_slack": 50,
    "rollback_ms": 5000, "recover_s": 12, "pass_ms": 120, "reuse_window_s": 10,
}
LIMITS = {"cpu_share": 0.537, "cores": 2, "memory_mb": 300, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0}
CONTRACTS = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "quota",
             "rollout", "platform"]
ZONES = {"caerdydd": "cymru", "abertawe": "cymru", "bangor": "cymru"}
BEAT_S = 1.2


class Record:
    """Writes `record.txt`: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self._file = (Path(folder) / "record.txt").open("w")
        self._lock = threading.Lock()

    def __call__(self, *words):
        line = f"{time.monotonic() - self.began:8.3f} " + " ".join(str(each) for each in words)
        with self._lock:
            self._file.write(line + "\n")
            self._file.flush()
        return line

    def say(self, *words):
        print(self(*words), flush=True)


class Store:
    """The platform's store: keyed topics with one partition, as PROTOCOL.md describes them."""

    def __init__(self):
        self.topics = {}
        self.changed = threading.Condition()
        self.server = ThreadingHTTPServer(("127.0.0.1", 0), self._handler())
        self.server.daemon_threads = True
        self.address = f"127.0.0.1:{self.server.server_address[1]}"
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def write(self, topic, key, value):
        if isinstance(value, dict):
            value = json.dumps(value).encode()
        with self.changed:
            records = self.topics.setdefault(topic, [])
            records.append((key, value))
            self.changed.notify_all()
            return len(records) - 1

    def newest(self, topic):
        with self.changed:
            return dict(self.topics.get(topic, []))

    def _respond(self, method, path, query, body):
        topic = query.get("topic", "")
        if (method, path) == ("GET", "/log-newest"):
            with self.changed:
                records = list(self.topics.setdefault(topic, []))
            newest = {key: (offset, value) for offset, (key, value) in enumerate(records)}
            items = [
                {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                for key, (offset, value) in newest.items()
                if value
            ]
            return 200, json.dumps({"items": items, "end_offset": len(records), "more_pages": False}).encode()
        if (method, path) == ("GET", "/log-read"):
            start = int(query["from"])
            until = time.monotonic() + min(30.0, int(query.get("wait_ms", "0")) / 1000)
            with self.changed:
                records = self.topics.setdefault(topic, [])
                if start > len(records):
                    return 410, b'{"first_offset": 0}'
                while len(records) <= start and time.monotonic() < until:
                    self.changed.wait(until - time.monotonic())
                rows = records[start:]
                end = len(records)
            data = struct.pack(">QQ", end, 0)
            for key, value in rows:
                content = bytes([len(key)]) + key.encode() + (value or b"")
                data += struct.pack(">I", len(content)) + content
            return 200, data
        if (method, path) == ("POST", "/log-append"):
            if topic in ("keyed.op", "keyed.servers"):
                return 403, b"{}"
            position, first = 0, None
            while position < len(body):
                (length,) = struct.unpack_from(">I", body, position)
                content = body[position + 4 : position + 4 + length]
                position += 4 + length
                end = 1 + content[0]
                offset = self.write(topic, content[1:end].decode(), content[end:] or None)
                first = offset if first is None else first
            return 200, json.dumps({"offset": first, "end_offset": offset + 1}).encode()
        return 404, b"{}"

    def _handler(store):  # noqa: N805
        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *words):
                pass

            def handle_call(self):
                body = self.rfile.read(int(self.headers.get("Content-Length", "0")))
                url = urlsplit(self.path)
                query = {name: values[0] for name, values in parse_qs(url.query).items()}
                status, data = store._respond(self.command, url.path, query, body)
                with suppress(OSError):
                    self.send_response(status)
                    self.send_header("Content-Length", str(len(data)))
                    self.end_headers()
                    self.wfile.write(data)

            do_GET = do_POST = handle_call

        return Handler

    def close(self):
        self.server.shutdown()
        self.server.server_close()


class Beats:
    """Writes the entries of the workers into the store, each about every `BEAT_S`."""

    def __init__(self, store):
        self.store = store
        self.entries = {}
        self.lock = threading.Lock()
        self.ended = threading.Event()
        threading.Thread(target=self._run, daemon=True).start()

    def add(self, name, **entry):
        entry = {"state": "ready", "version": "a1", "cold_remaining_ms": 0, "seq": 0,
                 "born": int(time.time() * 1000)} | entry
        with self.lock:
            self.entries[name] = entry
            self._write(name)

    def _write(self, name):
        self.entries[name]["seq"] += 1
        self.store.write("keyed.servers", name, self.entries[name])

    def _run(self):
        while not self.ended.wait(BEAT_S):
            with self.lock:
                for name in self.entries:
                    self._write(name)


class Gateways:
    """Gateway processes, started with the command of the deploy file."""

    def __init__(self, store, folder, record, bounds=BOUNDS, limits=LIMITS):
        self.store, self.folder, self.record = store, Path(folder), record
        self.bounds, self.limits = bounds, limits
        self.settings, self.processes, self.logs = {}, {}, {}
        # A network of its own for each run, so that the port of the metrics is free.
        self.net = f"127.{random.randint(16, 200)}.{random.randint(1, 250)}"

    def start(self, number, *, bootstrap=True):
        name = f"front-{number}"
        if name not in self.settings:
            ip = f"{self.net}.{number}"
            front, ready, peers = free_ports(ip, 3)
            zone = list(ZONES)[number % len(ZONES)]
            self.settings[name] = {
                "node": name, "role": "gateway", "class": "front", "serves": ["front"], "ip": ip, "zone": zone,
                "region": "cymru", "zones": ZONES,
                "listen": {"front": f"{ip}:{front}", "ready": f"{ip}:{ready}"},
                "port_range": [peers, peers + 15], "seeds": [], "loss_counts": False, "limits": self.limits,
                "data_dir": None, "discovery": "platform", "entry": "virtual_ip", "beat_interval_ms": 1200,
                "contracts": CONTRACTS, "tolerate": {"machines": 2, "zones": 0, "regions": 0},
                "bounds": self.bounds,
                "platform": {"address": self.store.address, "form": "log", "writes_per_s": 400, "reads_per_s": 2000,
                             "parts": 8, "append_ms": 4.0, "partition_mb_s": 20.0, "read_mb_s": 80.0,
                             "record_bytes": 262144, "call_bytes": 2097152, "keep_s": 300, "partition_mb": 200,
                             "min_ttl_ms": 1000},
            }
        settings = self.settings[name] | {"bootstrap": bootstrap}
        path = self.folder / f"{name}.yaml"
        path.write_text(json.dumps(settings))
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment |= {"PYTHONPATH": str(ROOT / "target/deps"), "SKYLARKMOOR_SETTINGS": str(path)}
        log = (self.folder / f"{name}.log").open("ab")
        self.processes[name] = subprocess.Popen(
            ["python3", "-m", "skylarkmoor_adapter.main", "--metrics-port", "9464"],
            cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log, start_new_session=True,
        )
        log.close()
        return name

    def front(self, name):
        host, _, port = self.settings[name]["listen"]["front"].rpartition(":")
        return host, int(port)

    def is_ready(self, name):
        url = f"http://{self.settings[name]['listen']['ready']}/ready"
        try:
            with urllib.request.urlopen(url, timeout=1) as response:
                return response.status == 200
        except (OSError, urllib.error.URLError):
            return False

    def wait_ready(self, names, timeout_s=20):
        until = time.monotonic() + timeout_s
        for name in names:
            while not self.is_ready(name):
                if time.monotonic() > until or self.processes[name].poll() is not None:
                    raise RuntimeError(f"{name} did not become ready: {self.tail(name)}")
                time.sleep(0.05)

    def tail(self, name, size=1500):
        return (self.folder / f"{name}.log").read_text(errors="replace")[-size:]

    def log_lines(self, name):
        return (self.folder / f"{name}.log").read_text(errors="replace").splitlines()

    def signal(self, name, number):
        self.processes[name].send_signal(number)

    def end(self):
        for process in self.processes.values():
            if process.poll() is None:
                with suppress(OSError):
                    process.send_signal(signal.SIGKILL)
            process.wait()


def free_ports(ip, count):
    listeners = [socket.create_server((ip, 0)) for _ in range(count)]
    ports = [each.getsockname()[1] for each in listeners]
    for each in listeners:
        each.close()
    return ports


class BadHttp(Exception):
    """The other side closed or sent what cannot be read."""


class Wire:
    """One HTTP/1.1 connection, read by hand."""

    def __init__(self, sock):
        self.sock, self.buffer = sock, b""

    def _more(self, size=65536):
        data = self.sock.recv(size)
        if not data:
            raise BadHttp("closed")
        self.buffer += data

    def head(self):
        """Return the first line and the headers by their names in lower case; None at a close before a byte."""
        while b"\r\n\r\n" not in self.buffer:
            if not self.buffer:
                data = self.sock.recv(65536)
                if not data:
                    return None
                self.buffer += data
            else:
                self._more()
        text, self.buffer = self.buffer.split(b"\r\n\r\n", 1)
        first, *lines = text.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        return first, headers

    def exactly(self, size):
        while len(self.buffer) < size:
            self._more()
        data, self.buffer = self.buffer[:size], self.buffer[size:]
        return data

    def line(self):
        while b"\r\n" not in self.buffer:
            self._more()
        text, self.buffer = self.buffer.split(b"\r\n", 1)
        return text

    def body(self, headers):
        if "chunked" in headers.get("transfer-encoding", ""):
            data = b""
            while size := int(self.line().split(b";")[0], 16):
                data += self.exactly(size)
                self.line()
            self.line()
            return data
        return self.exactly(int(headers.get("content-length", "0")))


def request_bytes(method, path, host, body=b"", **headers):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}"] if body else []
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def answer_bytes(status, body=b"", **headers):
    lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Listener:
    """Accepts connections and serves each in a thread of its own."""

    def __init__(self, serve, ip="127.0.0.1"):
        self.server = socket.create_server((ip, 0), backlog=256)
        self.address = "{}:{}".format(*self.server.getsockname())
        self._serve = serve
        self.is_open = True
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                sock, _ = self.server.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._run, args=(sock,), daemon=True).start()

    def _run(self, sock):
        try:
            self._serve(sock)
        except (OSError, BadHttp, ValueError):
            pass
        finally:
            with suppress(OSError):
                sock.close()

    def close(self):
        with suppress(OSError):
            self.server.close()


def run_case(folder, case):
    """Run a case and exit with its result: 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    record = Record(folder)
    temporary = tempfile.mkdtemp(prefix="review-2-")
    ends = []
    result = NOT_RUN
    try:
        record.say("trouble:", "on" if TROUBLE else "off")
        result = case(record, temporary, ends)
    except Exception as error:
        record.say(f"the case could not run: {type(error).__name__}: {error}")
        result = NOT_RUN
    finally:
        for end in reversed(ends):
            with suppress(Exception):
                end()
        shutil.rmtree(temporary, ignore_errors=True)
        record.say("result:", {BROKEN: "the rule was broken", HELD: "the rule held", NOT_RUN: "not run"}[result])
    sys.stdout.flush()
    os._exit(result)
