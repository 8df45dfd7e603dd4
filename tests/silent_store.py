"""A client of the store whose open connections can go silent, in simulated time."""

from dataclasses import dataclass, field
from typing import Any

from twisted.internet.defer import Deferred

from adapter_store import StoreModel
from skylarkmoor_adapter.store import KeyedRecord, StorePage
from skylarkmoor_clients.httpclient import NoAnswer

__all__ = ["SilentStore", "Channel"]

# How long a call without an answer lasts, in addition to its long-poll time.
CALL_TIMEOUT_MS = 1_500
_ANSWER_MS = 4
_POLL_MS = 20
# A read returns no more than this, but at least one record.
_MAX_PAGE_BYTES = 1_048_576


@dataclass(eq=False)
class Channel:
    """A connection to the store; a silent one stays open and carries nothing any more."""

    # Whether it is used again after a call.
    kept: bool = True
    silent: bool = False


@dataclass
class _Call:
    channel: Channel
    topic: str
    # None for a read of the newest record of each key.
    from_offset: int | None
    timeout_at_ms: int
    wait_until_ms: int
    done: Deferred[StorePage] = field(default_factory=Deferred)


class SilentStore:
    """Reads a store model over connections, and keeps the connections for later calls.

    Parameters
    ----------
    model : StoreModel
        The store.
    reactor, clock
        Simulated time of the gateway.
    """

    def __init__(self, model: StoreModel, reactor: Any, clock: Any) -> None:
        self.on_restored: list[Any] = []
        self.on_silence: list[Any] = []
        self.model = model
        self.calls = 0
        # Whether new connections stay without an answer as well.
        self.is_away = False
        self._reactor = reactor
        self._clock = clock
        self._idle: list[Channel] = []
        self._channels: set[Channel] = set()

    def silence(self) -> None:
        """Let all open connections go silent."""
        for channel in self._channels:
            channel.silent = True

    def drop_connections(self) -> None:
        """Close the idle connections."""
        self._channels -= set(self._idle)
        self._idle.clear()

    async def newest(self, topic: str, *, new_connection: bool = False) -> StorePage:
        """Return the newest record of each key."""
        return await self._start(topic, None, 0, None, new_connection)

    async def read(
        self,
        topic: str,
        from_offset: int,
        wait_ms: int = 0,
        *,
        new_connection: bool = False,
        timeout_ms: int | None = None,
    ) -> StorePage:
        """Return the records from an offset on."""
        return await self._start(topic, from_offset, wait_ms, timeout_ms, new_connection)

    async def append(self, topic: str, key: str, value: bytes) -> None:
        """Append a record."""
        self.model.write(topic, key, value)

    def _start(
        self,
        topic: str,
        from_offset: int | None,
        wait_ms: int,
        timeout_ms: int | None,
        new_connection: bool,
    ) -> Deferred[StorePage]:
        self.calls += 1
        if self._idle and not new_connection:
            channel = self._idle.pop()
        else:
            channel = Channel(kept=not new_connection)
            self._channels.add(channel)
        now_ms = self._clock.now_ms()
        timeout_at_ms = now_ms + (timeout_ms or CALL_TIMEOUT_MS) + wait_ms
        call = _Call(channel, topic, from_offset, timeout_at_ms, now_ms + wait_ms)
        call.done = Deferred(lambda _: None)
        self._reactor.callLater(_ANSWER_MS / 1_000, lambda: self._advance(call))
        return call.done

    def _advance(self, call: _Call) -> None:
        if call.done.called:
            self._channels.discard(call.channel)
            return
        now_ms = self._clock.now_ms()
        silent = call.channel.silent or self.is_away
        if silent and now_ms >= call.timeout_at_ms:
            self._channels.discard(call.channel)
            call.done.errback(NoAnswer("no complete answer in time"))
            self.drop_connections()
            for callback in self.on_silence:
                callback()
            return
        page = self._page(call)
        if not silent and (page.records or now_ms >= call.wait_until_ms):
            if call.channel.kept:
                self._idle.append(call.channel)
            else:
                self._channels.discard(call.channel)
            call.done.callback(page)
            return
        self._reactor.callLater(_POLL_MS / 1_000, lambda: self._advance(call))

    def _page(self, call: _Call) -> StorePage:
        records = self.model.topics.get(call.topic, [])
        if call.from_offset is None:
            newest = {key: (offset, value) for offset, (key, value) in enumerate(records)}
            found = [KeyedRecord(key, value, at) for key, (at, value) in newest.items() if value]
        else:
            start = call.from_offset
            found = []
            size = 0
            for offset, (key, value) in enumerate(records[start:], start):
                size += len(value or b"")
                if found and size > _MAX_PAGE_BYTES:
                    break
                found.append(KeyedRecord(key, value, offset))
            return StorePage(tuple(found), start + len(found), 0, len(records))
        return StorePage(tuple(found), len(records), 0, len(records))
