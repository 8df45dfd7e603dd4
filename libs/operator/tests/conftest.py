"""Fixtures: a fake of the log service, a server for klein apps, documents and records."""

import json

import pytest
import pytest_twisted
from twisted.web.server import Site

from skylarkmoor_core.document import (
    Customer,
    Route,
    ServiceDocument,
    ServiceKind,
    Tier,
    VersionMove,
)
from skylarkmoor_core.records import DocumentPublished, encode_record


class FakeLog:
    """In-memory log service with injectable failures.

    Attributes
    ----------
    before_append : callable
        Called with the stream name before each append; returns an error status that rejects the
        append, or None.
    status_after_append : dict of str to int
        Status returned after an append was applied, by stream; an error status hides that it was.
    hidden_offsets : set of int
        Offsets of entries that are omitted from reads.
    """

    def __init__(self):
        self.streams = {}
        self.read_count = 0
        self.before_append = lambda stream: None
        self.status_after_append = {}
        self.hidden_offsets = set()

    def add(self, stream, record, offset=None):
        """Append a record, or a decoded JSON object, directly and return its offset."""
        entries = self.streams.setdefault(stream, [])
        if offset is None:
            offset = entries[-1]["offset"] + 1 if entries else 0
        data = record if isinstance(record, dict) else json.loads(encode_record(record))
        entries.append({"offset": offset, "at_ms": 1_000 * offset, "data": data})
        return offset

    def app(self):
        # Importing klein installs the default reactor, so the import is deferred until
        # pytest-twisted has installed the asyncio reactor.
        from klein import Klein

        app = Klein()

        @app.route("/streams/<stream>/records", methods=["POST"])
        def append(request, stream):
            status = self.before_append(stream)
            if status is not None:
                request.setResponseCode(status)
                return b""
            offset = self.add(stream, json.loads(request.content.read()))
            request.setResponseCode(self.status_after_append.get(stream, 200))
            return json.dumps({"offset": offset})

        @app.route("/streams/<stream>/records", methods=["GET"])
        def read(request, stream):
            self.read_count += 1
            start, limit = int(request.args[b"from"][0]), int(request.args[b"limit"][0])
            entries = self.streams.get(stream, [])
            visible = [
                entry
                for entry in entries
                if entry["offset"] >= start and entry["offset"] not in self.hidden_offsets
            ][:limit]
            first = entries[0]["offset"] if entries else 0
            next_offset = visible[-1]["offset"] + 1 if visible else start
            return json.dumps({"records": visible, "first": first, "next": next_offset})

        return app


@pytest.fixture
def serve():
    from twisted.internet import reactor

    ports = []

    def start(app):
        port = reactor.listenTCP(0, Site(app.resource()), interface="127.0.0.1")
        ports.append(port)
        return f"http://127.0.0.1:{port.getHost().port}"

    yield start
    for port in ports:
        pytest_twisted.blockon(port.stopListening())


@pytest.fixture
def fake_log():
    return FakeLog()


@pytest.fixture
def log_url(serve, fake_log):
    return serve(fake_log.app())


@pytest.fixture
def make_document():
    def make(version="v1", service="assistant", move_to=None, by_ms=90_000):
        return ServiceDocument(
            service=service,
            kind=ServiceKind.ENGINE,
            tiers=(Tier(name="top", rank=0),),
            routes=(Route(name="chat", tier="top"),),
            customers=(Customer(name="depots"),),
            version=version,
            move=VersionMove(version=move_to, by_ms=by_ms) if move_to else None,
        )

    return make


@pytest.fixture
def publication(make_document):
    def make(based_on, author="ann", **parts):
        document = make_document(**parts)
        return DocumentPublished(
            service=document.service, document=document, based_on=based_on, author=author
        )

    return make
