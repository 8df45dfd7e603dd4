"""Guards against unintended changes in responses to callers and operators, by a snapshot."""

import re

import msgspec
import pytest_twisted

_TIMESTAMP = re.compile(rb"\b1[0-9]{9,12}\b")
_AGE = re.compile(rb"passed [0-9]+ ms ago")
_ADDRESS = re.compile(rb"127\.0\.0\.1:[0-9]+")


def _mask_variable_parts(body):
    body = _AGE.sub(b"passed <age> ms ago", _TIMESTAMP.sub(b"<time>", body))
    return _ADDRESS.sub(b"<address>", body).decode()


class Session:
    """Sends requests one after another and records the responses."""

    def __init__(self, world):
        self.lines = []
        self._world = world

    def record_answer(self, title, answer):
        self.lines.append(f"# {title}: {answer.status} {answer.headers['content-type']}")
        self.lines += _mask_variable_parts(answer.body).splitlines()

    async def chat(self, title, daemon, text, **options):
        self.record_answer(title, await self._world.chat(daemon, text, **options))

    async def order(self, title, daemon, key, **options):
        self.record_answer(title, await self._world.order(daemon, key, **options))

    async def get(self, title, daemon, path):
        self.record_answer(title, await self._world.web.ask("GET", self._world.urls[daemon] + path))


@pytest_twisted.ensureDeferred
async def test_session_of_three_daemons(world, assistant, orders, snapshot):
    for name in ("engine-1", "engine-2"):
        world.engine(name)
    world.plain("plain-1")
    world.publish(assistant)
    world.publish(orders)
    for name, domain in (("entry-1", "a"), ("entry-2", "b"), ("entry-3", "b")):
        world.daemon(name, domain)
    await world.ready()
    session = Session(world)
    issued = world.clock.wall_ms()
    late = {"X-Deadline-Ms": str(issued - 1)}
    await session.get("readiness", "entry-1", "/readyz")
    await session.chat("whole answer", "entry-1", "how warm? answer_tokens=4")
    await session.chat("streamed answer", "entry-2", "how warm? answer_tokens=4", stream=True)
    await session.chat("unknown route", "entry-1", "hello", model="poems")
    await session.chat("unknown customer", "entry-1", "hello", customer="nobody")
    await session.chat("deadline passed", "entry-1", "hello", headers=late)
    await session.order("order", "entry-1", "k", issued=issued)
    await session.order("resend to another daemon", "entry-3", "k", issued=issued)
    await session.order("key with another body", "entry-2", "k", body={"item": 2}, issued=issued)
    await session.order("expired key", "entry-2", "old", issued=issued - 600_000)
    await session.order("idempotent call", "entry-2", "x", route="stock")
    world.log.faults = msgspec.structs.replace(world.log.faults, outage=True)
    await session.order("order without the log", "entry-1", "k2", issued=issued)
    await session.chat("answer without the log", "entry-1", "still? answer_tokens=2")
    world.log.faults = msgspec.structs.replace(world.log.faults, outage=False)
    await session.get("moves", "entry-2", "/admin/moves")
    drained = world.daemons["entry-1"]
    drained.signal()
    await session.chat("request to a draining daemon", "entry-1", "hello")
    await session.get("readiness of a draining daemon", "entry-1", "/readyz")
    await world.until(lambda: drained.exited.called)
    await world.stop_daemon("entry-1")
    await world.until(lambda: "entry-1" not in world.daemons["entry-2"].reachable())
    await session.order("resend after the holder left", "entry-2", "k", issued=issued)
    await session.get("status", "entry-2", "/admin/status")
    assert "\n".join(session.lines) == snapshot
