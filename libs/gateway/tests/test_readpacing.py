"""Guards against connections whose bytes take long to read and leave no time for others."""

from twisted.internet.task import Clock

from skylarkmoor_gateway.readpacing import PacedReader, ReadPacer

SLICE = b"x" * 4_096
# Processor time of a slice: two of them are a turn.
SLICE_S = 0.003


class Connection:
    """Counts the slices that were processed, each of which takes some processor time."""

    def __init__(self, pacer, slice_s=SLICE_S):
        self.pacer, self.slice_s = pacer, slice_s
        self.consumed = b""
        self.is_paused = False
        self.reader = PacedReader(pacer, self.consume, self.pause, self.resume)

    def consume(self, data):
        self.consumed += data
        self.pacer.used_s += self.slice_s

    def pause(self):
        self.is_paused = True

    def resume(self):
        self.is_paused = False


class CountingPacer(ReadPacer):
    def __init__(self):
        self.clock = Clock()
        self.used_s = 0.0
        super().__init__(self.clock, lambda: self.used_s)


def test_bytes_that_take_little_time_are_processed_at_once():
    connection = Connection(CountingPacer(), slice_s=0.0001)
    connection.reader.feed(SLICE * 16)
    assert connection.consumed == SLICE * 16
    assert not connection.is_paused


def test_bytes_that_take_long_are_processed_in_turns():
    pacer = CountingPacer()
    connection = Connection(pacer)
    connection.reader.feed(SLICE * 5)
    assert connection.consumed == SLICE * 2
    assert connection.is_paused
    pacer.clock.advance(0.02)
    assert connection.consumed == SLICE * 4
    pacer.clock.advance(0.02)
    assert connection.consumed == SLICE * 5
    assert not connection.is_paused


def test_a_connection_that_has_yielded_waits_for_a_turn_with_each_read():
    """It would use the whole loop with reads that each stay below the bound."""
    pacer = CountingPacer()
    connection = Connection(pacer)
    connection.reader.feed(SLICE * 3)
    pacer.clock.advance(0.02)
    connection.reader.feed(SLICE)
    assert connection.consumed == SLICE * 3
    pacer.clock.advance(0.02)
    assert connection.consumed == SLICE * 4


def test_all_connections_that_have_yielded_share_one_part_of_the_loop():
    pacer = CountingPacer()
    connections = [Connection(pacer) for _ in range(10)]
    for each in connections:
        each.reader.feed(SLICE * 100)
    used_s = pacer.used_s
    for _ in range(50):
        pacer.clock.advance(0.02)
    # Two slices in each of the 50 turns of this second.
    assert round(pacer.used_s - used_s, 3) == 50 * 2 * SLICE_S
    assert {len(each.consumed) for each in connections} == {(2 + 5 * 2) * len(SLICE)}


def test_the_end_comes_after_the_bytes_before_it():
    pacer = CountingPacer()
    connection = Connection(pacer)
    ended = []
    connection.reader.feed(SLICE * 3)
    connection.reader.end(lambda: ended.append(len(connection.consumed)))
    assert ended == []
    pacer.clock.advance(0.02)
    assert ended == [3 * len(SLICE)]


def test_what_is_discarded_is_not_processed():
    pacer = CountingPacer()
    connection = Connection(pacer)
    connection.reader.feed(SLICE * 3)
    connection.reader.reset()
    pacer.clock.advance(0.02)
    assert connection.consumed == SLICE * 2
