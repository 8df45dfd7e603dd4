"""Runs gateways as processes before a store and upstreams on loopback sockets."""

import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Sequence
from contextlib import suppress
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

from adapter_harness import answer
from adapter_store import StoreModel

__all__ = ["WAIT_S", "GatewayProcess", "NoticingUpstream", "StoreServer", "free_ports"]

# Bound of every wait for another process.
WAIT_S = 20
# Two offsets, without records after them.
EMPTY_PAGE_BYTES = 16
EVENT = b"id: 1\ndata: a\n\n"


class StoreServer:
    """Serves a store model; while it is away, it closes connections without an answer."""

    def __init__(self) -> None:
        self.model = StoreModel()
        self.is_away = False
        self.lock = threading.Lock()
        self.server = ThreadingHTTPServer(("127.0.0.1", 0), store_handler(self))
        self.server.daemon_threads = True
        self.address = f"127.0.0.1:{self.server.server_address[1]}"
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def write(self, topic, key, value):
        with self.lock:
            self.model.write(topic, key, value)

    def restore(self, older):
        """Be away for a moment, and come back from a copy."""
        self.is_away = True
        time.sleep(0.3)
        with self.lock:
            self.model.restore(older)
        self.is_away = False

    def close(self):
        self.server.shutdown()
        self.server.server_close()


def store_handler(store):
    """Return a request handler for the calls of the store."""

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def log_message(self, *args):
            pass

        def handle_call(self):
            body = self.rfile.read(int(self.headers.get("Content-Length", "0")))
            url = urlsplit(self.path)
            query = {name: values[0] for name, values in parse_qs(url.query).items()}
            wait_until = time.monotonic() + min(1.0, int(query.get("wait_ms", "0")) / 1_000)
            while True:
                if store.is_away:
                    self.close_connection = True
                    return
                with store.lock:
                    response = store.model.respond(self.command, url.path, query, body)
                has_records = len(response.body) > EMPTY_PAGE_BYTES
                if self.command != "GET" or has_records or time.monotonic() >= wait_until:
                    break
                time.sleep(0.02)
            # The gateway ends while its last read waits.
            with suppress(BrokenPipeError, ConnectionResetError):
                self.send_response(response.status)
                for name, value in response.headers.items():
                    self.send_header(name, value)
                self.send_header("Content-Length", str(len(response.body)))
                self.end_headers()
                self.wfile.write(response.body)

        do_GET = do_POST = handle_call  # noqa: N815

    return Handler


class NoticingUpstream:
    """An upstream that says of itself what a test sets, and records when requests arrive.

    Attributes
    ----------
    notices : dict
        Headers of each answer.
    refuses : bool
        Whether requests are answered with 503 and not executed.
    received_s : list of float
        Monotonic times at which requests were read.
    requests : list of (str, str)
        Id and path of each request that was read.
    limits : list of (float, float or None)
        Time of each change of the limit, and the new one.
    """

    def __init__(self) -> None:
        self.notices: dict[str, str] = {}
        self.refuses = False
        self.received_s: list[float] = []
        self.requests: list[tuple[str, str]] = []
        self.limits: list[tuple[float, float | None]] = []
        self.server = ThreadingHTTPServer(("127.0.0.1", 0), _noticing_handler(self))
        # Gateways are killed with connections open.
        self.server.handle_error = lambda *args: None  # type: ignore[method-assign]
        self.server.daemon_threads = True
        self.port = self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def set_limit(self, limit_per_s: float | None) -> None:
        """Name another limit from now on, None for none."""
        self.limits.append((time.monotonic(), limit_per_s))
        self.notices = {} if limit_per_s is None else {"Server_Limit": str(limit_per_s)}

    def close(self) -> None:
        """Stop serving."""
        self.server.shutdown()
        self.server.server_close()


def _noticing_handler(upstream: NoticingUpstream) -> type[BaseHTTPRequestHandler]:
    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def log_message(self, *args: Any) -> None:
            pass

        def do_POST(self) -> None:  # noqa: N802
            self.rfile.read(int(self.headers.get("Content-Length", "0")))
            upstream.requests.append((self.headers["Skylarkmoor-Request-Id"], self.path))
            upstream.received_s.append(time.monotonic())
            headers = {"Skylarkmoor_Request_Id": self.headers["Skylarkmoor-Request-Id"]}
            headers |= upstream.notices
            if upstream.refuses:
                refusal = {"Skylarkmoor_Not_Executed": "1"}
                data = answer(status="503 Full", **headers, **refusal)
            else:
                data = answer(EVENT if self.path.startswith("/answer/") else b"ok", **headers)
            with suppress(BrokenPipeError, ConnectionResetError):
                self.wfile.write(data)

    return Handler


class GatewayProcess:
    """A gateway process that is ready.

    Parameters
    ----------
    folder : Path
        Where its settings are written.
    host : str
        Its host id.
    store : StoreServer
        The store of the fleet.
    upstreams : tuple of str
        Ids of the upstreams that it has to know before it counts as ready.
    ports : list of int, optional
        Ports for callers, readiness and peers; drawn if not given.
    sources : list of Path, optional
        Folders with the packages of another build.
    limits : dict of str to int, optional
        Bounds of the host: ``memory_mb`` and ``max_fds``.
    """

    def __init__(
        self,
        folder: Path,
        host: str,
        store: StoreServer,
        upstreams: tuple[str, ...],
        ports: list[int] | None = None,
        sources: Sequence[Path] = (),
        limits: dict[str, int] | None = None,
    ) -> None:
        self.host = host
        self.ports = ports or free_ports(3)
        callers, ready, peers = self.ports
        settings = {
            "node": host,
            "ip": "127.0.0.1",
            "listen": {"front": f"127.0.0.1:{callers}", "ready": f"127.0.0.1:{ready}"},
            "port_range": [peers, peers],
            "platform": {"address": store.address},
            "bootstrap": True,
        }
        if limits is not None:
            settings["limits"] = limits
        path = folder / f"{host}.yaml"
        path.write_text(json.dumps(settings))
        environment = os.environ | {"SKYLARKMOOR_SETTINGS": str(path)}
        if sources:
            environment["PYTHONPATH"] = os.pathsep.join(map(str, sources))
        self.process = subprocess.Popen(
            [sys.executable, "-m", "skylarkmoor_adapter.main"],
            env=environment,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
        )
        try:
            wait_until_ready(self.process, upstreams)
        except BaseException:
            self.end()
            raise

    @property
    def port(self) -> int:
        """Port for callers."""
        return self.ports[0]

    def end(self) -> None:
        """Kill the process; a stopped one is killed as well."""
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()


def free_ports(count: int) -> list[int]:
    """Return ports that were free a moment ago."""
    listeners = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [each.getsockname()[1] for each in listeners]
    for each in listeners:
        each.close()
    return ports


def wait_until_ready(process: subprocess.Popen[bytes], upstreams: tuple[str, ...]) -> None:
    """Read the log until the upstreams are known and the gateway is ready."""
    seen = set()
    timer = threading.Timer(WAIT_S, process.kill)
    timer.start()
    for line in process.stdout:
        record = json.loads(line)
        if record["message"] == "gateway: upstream changed":
            seen.add(record["upstream"])
        if record["message"] == "gateway: ready":
            seen.add("ready")
        if seen >= {*upstreams, "ready"}:
            timer.cancel()
            # Keeps the pipe from filling up.
            threading.Thread(target=process.stdout.read, daemon=True).start()
            return
    raise AssertionError("the gateway ended before it was ready")
