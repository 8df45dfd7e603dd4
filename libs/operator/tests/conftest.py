"""Serves a small fake of the log, and other klein apps, on port 0."""

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
    """Keeps streams in memory.

    Attributes
    ----------
    before_append : callable
        Called with the stream before each append; returns a status to refuse with, or None.
    answer_status : dict of str to int
        Status that hides the answer of an applied append, by stream.
    hidden : set of int
        Offsets that reads do not show yet.
    """

    def __init__(self):
        self.streams = {}
        self.reads = 0
        self.before_append = lambda stream: None
        self.answer_status = {}
        self.hidden = set()

    def add(self, stream, record, offset=None):
        """Append a record, or raw JSON, directly and return its offset."""
        entries = self.streams.setdefault(stream, [])
        if offset is None:
            offset = entries[-1]["offset"] + 1 if entries else 0
        data = record if isinstance(record, dict) else json.loads(encode_record(record))
        entries.append({"offset": offset, "at_ms": 1_000 * offset, "data": data})
        return offset

    def app(self):
        # Importing klein installs the default reactor, so it waits until pytest-twisted has
        # installed the asyncio reactor.
        from klein import Klein

        app = Klein()

        @app.route("/streams/<stream>/records", methods=["POST"])
        def append(request, stream):
            status = self.before_append(stream)
            if status is not None:
                request.setResponseCode(status)
                return b""
            offset = self.add(stream, json.loads(request.content.read()))
            request.setResponseCode(self.answer_status.get(stream, 200))
            return json.dumps({"offset": offset})

        @app.route("/streams/<stream>/records", methods=["GET"])
        def read(request, stream):
            self.reads += 1
            start, limit = int(request.args[b"from"][0]), int(request.args[b"limit"][0])
            entries = self.streams.get(stream, [])
            shown = [
                entry
                for entry in entries
                if entry["offset"] >= start and entry["offset"] not in self.hidden
            ][:limit]
            first = entries[0]["offset"] if entries else 0
            following = shown[-1]["offset"] + 1 if shown else start
            return json.dumps({"records": shown, "first": first, "next": following})

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
