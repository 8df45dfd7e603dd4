"""Stand-in of the platform's store: keyed topics that can come back from an older copy."""

import base64
import copy
import json
import struct
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

import msgspec

from adapter_harness import CONFIG

__all__ = [
    "Copy",
    "StoreModel",
    "StoreResponse",
    "configuration_record",
    "entry_record",
    "order_record",
    "status_record",
]

Records = list[tuple[str, bytes | None]]


@dataclass(frozen=True)
class StoreResponse:
    """A response of the store; `headers` holds the era unless the store does not name it."""

    status: int
    body: bytes
    headers: dict[str, str]


@dataclass(frozen=True)
class Copy:
    """The records of all topics at one moment."""

    topics: dict[str, Records]


@dataclass
class StoreModel:
    """Topics with one partition each, without network.

    Attributes
    ----------
    era : int
        Rises with each restore.
    era_header : str or None
        Value of the header ``Store-Era`` in place of the era; an empty one leaves the header out.
    calls : list of str
        Method, path and topic of each call.
    """

    era: int = 1
    era_header: str | None = None
    topics: dict[str, Records] = field(default_factory=dict)
    calls: list[str] = field(default_factory=list)

    def write(self, topic: str, key: str, value: bytes | None) -> int:
        """Append a record and return its offset; a record without a value deletes its key."""
        records = self.topics.setdefault(topic, [])
        records.append((key, value))
        return len(records) - 1

    def copy(self) -> Copy:
        """Return a copy to come back from."""
        return Copy(copy.deepcopy(self.topics))

    def restore(self, older: Copy) -> None:
        """Come back from a copy, in the next era."""
        self.topics = copy.deepcopy(older.topics)
        self.era += 1

    def respond(
        self, method: str, path: str, query: Mapping[str, str], body: bytes = b""
    ) -> StoreResponse:
        """Return the response to a call; a read does not wait for records."""
        topic = query["topic"]
        self.calls.append(f"{method} {path} {topic}")
        records = self.topics.setdefault(topic, [])
        match method, path:
            case "GET", "/log-newest":
                return self._response(200, _json(_newest_page(records)))
            case "GET", "/log-read":
                start = int(query["from"])
                if start > len(records):
                    return self._response(410, _json({"first_offset": 0}))
                bounds = struct.pack(">QQ", len(records), 0)
                return self._response(200, bounds + b"".join(map(_encode, records[start:])))
            case "POST", "/log-append":
                key, value = _decode(body)
                offset = self.write(topic, key, value)
                return self._response(200, _json({"offset": offset, "end_offset": offset + 1}))
            case _:
                return self._response(404, b"")

    def newest(self, topic: str) -> dict[str, bytes]:
        """Return the newest value of each key that is not deleted."""
        values = dict(self.topics.get(topic, []))
        return {key: value for key, value in values.items() if value is not None}

    def _response(self, status: int, body: bytes) -> StoreResponse:
        era = str(self.era) if self.era_header is None else self.era_header
        return StoreResponse(status, body, {"Store-Era": era} if era else {})


def _newest_page(records: Records) -> dict[str, Any]:
    newest = {key: (offset, value) for offset, (key, value) in enumerate(records)}
    items = [
        {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
        for key, (offset, value) in newest.items()
        if value is not None
    ]
    return {"items": items, "end_offset": len(records), "more_pages": False}


def _json(value: object) -> bytes:
    return json.dumps(value).encode()


def _encode(record: tuple[str, bytes | None]) -> bytes:
    key, value = record
    content = bytes([len(key)]) + key.encode() + (value or b"")
    return struct.pack(">I", len(content)) + content


def _decode(data: bytes) -> tuple[str, bytes | None]:
    content = data[4:]
    end = 1 + content[0]
    return content[1:end].decode(), content[end:] or None


def configuration_record(version: int, *routes: dict[str, Any]) -> bytes:
    """Return a configuration with a version and further routes."""
    config = msgspec.json.decode(CONFIG)
    return msgspec.json.encode(
        config | {"version": version, "routes": [*config["routes"], *routes]}
    )


def entry_record(**changes: Any) -> bytes:
    """Return the entry of a ready upstream."""
    values = {
        "service": "assistant",
        "address": "10.1.0.9:80",
        "slots": 8,
        "state": "ready",
        "version": "v1",
        "born": 1,
    }
    return msgspec.json.encode(values | changes)


def order_record(**changes: Any) -> bytes:
    """Return the order of a rollout of the assistant."""
    values = {"service": "assistant", "target": "v2", "duration_s": 15}
    return msgspec.json.encode(values | changes)


def status_record(state: str = "rolled_back", target: str = "v2") -> bytes:
    """Return the status of a rollout of the assistant."""
    return msgspec.json.encode({"service": "assistant", "target": target, "state": state})
