"""Runs a gateway as a process before upstreams that answer uploads without reading them."""

import json
import socket
import struct
import threading
from contextlib import closing, suppress
from http.client import HTTPConnection

import pytest

from adapter_harness import CONFIG, answer
from adapter_processes import WAIT_S, GatewayProcess, StoreServer
from adapter_store import entry_record

# More than the kernel holds for the connection to the upstream.
UPLOAD = b"x" * 16_000_000


@pytest.fixture
def listener():
    """Return a listener whose connections hold little of what arrives."""
    made = socket.socket()
    made.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    made.bind(("127.0.0.1", 0))
    made.listen()
    yield made
    made.close()


@pytest.fixture
def store():
    server = StoreServer()
    yield server
    server.close()


@pytest.fixture
def port(listener, store, tmp_path):
    """Return the port for callers of a gateway that takes large uploads."""
    config = json.loads(CONFIG)
    config["limits"]["max_body_bytes"] = len(UPLOAD)
    del config["tenants"]
    for route in config["routes"]:
        route["timeout_ms"] = 20_000
    store.write("keyed.op", "config", json.dumps(config).encode())
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    entry = {"service": "orders", "address": address, "slots": 2, "seq": 1}
    store.write("keyed.servers", "o1", entry_record(**entry))
    gateway = GatewayProcess(tmp_path, "front-1", store, ("o1",))
    yield gateway.port
    gateway.end()


def reset(far):
    far.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    far.close()


def half_close(far):
    far.shutdown(socket.SHUT_WR)


@pytest.mark.parametrize("end", [half_close, reset, socket.socket.close])
def test_a_part_of_an_answer_to_an_unread_upload_is_no_answer(listener, port, end):
    """A half-close while the upload was being written made the part a complete answer (MIXED)."""
    accepted = []

    def answer_early():
        with suppress(OSError):
            far, _ = listener.accept()
            accepted.append(far)
            far.recv(1_000)
            far.sendall(answer(b"", Content_Length="") + b"part")
            end(far)

    thread = threading.Thread(target=answer_early, daemon=True)
    thread.start()
    headers = {"Host": "a.example", "Skylarkmoor-Request-Id": "r1"}
    with closing(HTTPConnection("127.0.0.1", port, timeout=WAIT_S)) as connection:
        connection.request("POST", "/order/1", UPLOAD, headers)
        assert connection.getresponse().status == 502
    thread.join(WAIT_S)
    for far in accepted:
        far.close()
