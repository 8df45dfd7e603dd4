"""A gateway that passes an answer without a length on for another one is killed in the middle."""

import signal
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from common import CannotRun, Client, configuration, main, route

ROUTES = [route("order", "/order/", "unsafe", "orders", timeout_ms=1500)]
BODY = b'{"order": "R-1", "boxes": 3, "state": "refused", "paid": 0}'
# The server writes the rest of its answer this long after the first part.
REST_S = 0.4
# Shorter than the time for which a gateway waits for a connection.
SILENT_S = 0.25
TRIES = 8


def answer_without_length(server, connection, request):
    """Write an answer that ends with its connection."""
    first = BODY[: len(BODY) // 2]
    connection.sendall(server.answer_head(request) + first)
    time.sleep(REST_S)
    connection.sendall(BODY[len(first) :])
    server.case.record.write(f"server {server.name} has written the whole answer {request['id']}")
    return False


def wait_for_peer(gateway, name):
    """Return the peer through which a request was sent, None if it was sent directly."""
    until = time.monotonic() + 1.0
    while time.monotonic() < until:
        for line in gateway.lines():
            if line.get("request") == name and "through a peer" in line["message"]:
                return line["peer"]
        time.sleep(0.01)
    return None


def ask_through_peer(case, name):
    """Send a request while the server is silent for a moment; return answer and peer."""
    front, server = case.gateways[0], case.servers[0]
    server.fall_silent()
    client = Client(case, front)
    threading.Timer(SILENT_S, server.go_on).start()
    client.send(name, "POST", "/order/1", body=b"3 boxes")
    peer = wait_for_peer(front, name)
    case.record.write(f"{front.name} sends {name} " + (f"through {peer}" if peer else "directly"))
    if peer is not None and case.trouble:
        until = time.monotonic() + 0.3
        while not any(run["id"] == name for run in server.runs) and time.monotonic() < until:
            time.sleep(0.005)
        time.sleep(0.05)
        (relay,) = [each for each in case.gateways if each.name == peer]
        relay.send_signal(signal.SIGKILL)
        relay.process.wait()
    answer = client.receive(name)
    client.close()
    return answer, peer


def play(case):
    case.store.write("keyed.op", "config", configuration(7, ROUTES))
    case.server("orders-1", "orders", run=answer_without_length)
    case.start_gateways(7)
    for number in range(TRIES):
        answer, peer = ask_through_peer(case, f"r{number}")
        if peer is not None:
            break
        time.sleep(2.0)
    else:
        raise CannotRun("no request was sent through a peer")
    is_success = answer.status == 200 and answer.complete
    if is_success and answer.body != BODY:
        return [f"MIXED: a complete 200 with {answer.body!r}, the server's answer is {BODY!r}"]
    if not case.trouble and not is_success:
        raise CannotRun("the request failed without the disruption")
    return []


main(__file__, play)
