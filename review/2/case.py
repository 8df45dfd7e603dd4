"""A gateway is killed and starts again while its requests wait for slots at another gateway."""

import signal
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from common import ROOT, CannotRun, Client, configuration, main, route

sys.path.append(str(ROOT / "target/deps"))
from skylarkmoor_core.hashing import rendezvous_order

ENGINE_SLOTS = 2
# A gateway lets one more request wait at an engine than it has slots.
CAPACITY = ENGINE_SLOTS + 1
WAITING = 4
GATEWAYS = 7
TRIES = 12
MEET_S = 1.5


def stream_route(name, prefix, service):
    return route(
        name,
        prefix,
        "stream",
        service,
        timeout_ms=15000,
        goal_ms=2000,
        gap_target_ms=400,
        priority=0,
        sticky=True,
    )


def answer_when_released(server, connection, request):
    """Answer with one event, those that fill the engine only when they are released."""
    gate = server.case.gates.get(request["id"])
    if gate is not None:
        gate.wait(20)
    body = f"id: 1\ndata: {server.service} for {request['path']}\n\n".encode()
    head = server.answer_head(request, Content_Type="text/event-stream", Content_Length=len(body))
    connection.sendall(head + body)
    return True


class Stream(threading.Thread):
    """A client that asks for one stream."""

    def __init__(self, case, gateway, name, path):
        super().__init__(daemon=True)
        self.client = Client(case, gateway)
        self.name = name
        self.answer = None
        self.client.send(
            name,
            "POST",
            path + name,
            body=b"text",
            deadline_ms=15000,
            Skylarkmoor_Model="m",
            Skylarkmoor_Token_Counts="100,6",
        )
        self.start()

    def run(self):
        self.answer = self.client.receive(self.name)
        self.client.close()


def has_run(case, name):
    return any(run["id"] == name for server in case.servers for run in server.runs)


def wait_until(condition, wait_s):
    until = time.monotonic() + wait_s
    while not condition() and time.monotonic() < until:
        time.sleep(0.005)
    return condition()


def has_heard(front, gateways):
    """Return whether a gateway has logged that it hears others."""
    heard = {each.get("peer") for each in front.lines() if "is responding" in each["message"]}
    return {each.name for each in gateways} <= heard


def choose_services(hosts):
    """Return two services whose slots different gateways grant, and a third gateway."""
    for number in range(1, 100):
        services = ("llm", f"draft-{number}")
        granting = [rendezvous_order(each, hosts)[0] for each in services]
        if granting[0] != granting[1]:
            return services, granting, [each for each in hosts if each not in granting][0]
    raise CannotRun("no names of services found")


def fill(case, gateway, service, path, tag):
    """Take all places of a service's engine and return the names of the requests."""
    names = [f"{tag}-fill-{service}-{number}" for number in range(CAPACITY)]
    for name in names:
        case.gates[name] = threading.Event()
        Stream(case, gateway, name, path)
    if not wait_until(lambda: all(has_run(case, name) for name in names), 5):
        raise CannotRun(f"the engine of {service} was not filled")
    return names


def play_once(case, tag, services, granting, front):
    """Let requests wait, kill their gateway, and let others wait at its next process."""
    names = {}
    for service, path in zip(services, case.paths, strict=True):
        names[service] = fill(case, granting[0], service, path, tag)
    time.sleep(0.3)
    for number in range(WAITING):
        Stream(case, front, f"{tag}-brief-{number}", case.paths[0])
    time.sleep(0.1)
    if case.trouble:
        front.send_signal(signal.SIGKILL)
        front.process.wait()
        front.start()
        if not wait_until(front.is_ready, 10):
            raise CannotRun("the gateway did not start again")
        case.record.write(f"{front.name} is ready again")
        # The process learns from its peers which engines are full.
        wait_until(lambda: has_heard(front, granting), MEET_S)
    second = [
        Stream(case, front, f"{tag}-draft-{number}", case.paths[1]) for number in range(WAITING)
    ]
    time.sleep(0.1)
    for name in names[services[0]]:
        case.gates[name].set()
    time.sleep(1.0)
    for name in names[services[1]]:
        case.gates[name].set()
    for each in second:
        each.join()
    time.sleep(1.0)


def play(case):
    hosts = [f"front-{number}" for number in range(2, 2 + GATEWAYS)]
    services, granting, name = choose_services(hosts)
    case.record.write(f"{granting[0]} grants the slots of {services[0]}, {granting[1]} of {services[1]}")
    case.gates = {}
    case.paths = ("/brief/", "/draft/")
    routes = [stream_route(p.strip("/"), p, s) for p, s in zip(case.paths, services, strict=True)]
    services_field = [{"name": each, "engine": {"slots": ENGINE_SLOTS}} for each in services]
    case.store.write("keyed.op", "config", configuration(7, routes, services=services_field))
    for service in services:
        case.server(f"{service}-a", service, run=answer_when_released, slots=ENGINE_SLOTS)
    by_name = {each.name: each for each in case.start_gateways(GATEWAYS)}
    allowed = dict(zip(case.paths, services, strict=True))
    for number in range(TRIES):
        play_once(case, f"t{number}", services, [by_name[each] for each in granting], by_name[name])
        found = [
            f"ROUTE: {server.name} of service {server.service} has run {run['id']} ({run['path']}),"
            f" whose route goes to service {allowed[path]} in every configuration"
            for server in case.servers
            for run in server.runs
            for path in case.paths
            if run["path"].startswith(path) and server.service != allowed[path]
        ]
        if found:
            return found
    return []


main(__file__, play)
