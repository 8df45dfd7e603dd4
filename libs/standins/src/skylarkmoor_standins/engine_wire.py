"""Lines of an answer stream, with the faults of the connection."""

import random
from dataclasses import dataclass

import msgspec

from skylarkmoor_standins.engine_model import Attempt
from skylarkmoor_standins.engine_types import Ended, EngineFaults

__all__ = ["LineWriter", "Lines"]


class _Chunk(msgspec.Struct, frozen=True):
    attempt: str
    position: int
    text: str


class _EndMarker(msgspec.Struct, frozen=True):
    attempt: str
    end: bool
    total: int
    prefill_tokens: int
    cached_tokens: int


@dataclass(frozen=True, slots=True)
class Lines:
    """Bytes to send; afterwards the connection may be finished, or broken."""

    data: bytes
    finished: bool = False
    broken: bool = False


class LineWriter:
    """Writes the lines of one attempt to one connection.

    Parameters
    ----------
    attempt : Attempt
        Whose answer is written.
    position : int
        First position to write.
    rng : random.Random
        Decides which chunks have faults.
    """

    def __init__(self, attempt: Attempt, position: int, rng: random.Random) -> None:
        self.attempt = attempt
        self._position = position
        self._rng = rng
        self._sent = 0

    def take(self, faults: EngineFaults, other: str) -> Lines:
        """Return the lines that are ready and were not taken before.

        Parameters
        ----------
        faults : EngineFaults
            Fault switches.
        other : str
            Id of another attempt, for crossed chunks.
        """
        lines: list[bytes] = []
        served = self.attempt.served
        while self._position < served.position:
            lines.extend(self._chunk_lines(faults, other))
            self._position += 1
            self._sent += 1
            if faults.cut_streams and self._sent >= faults.cut_streams:
                return Lines(b"".join(lines), broken=True)
        if not self.attempt.ended:
            return Lines(b"".join(lines))
        if served.end is Ended.DONE and not faults.truncate:
            lines.append(self._end_line())
        return Lines(b"".join(lines), finished=True)

    def _chunk_lines(self, faults: EngineFaults, other: str) -> list[bytes]:
        text = self.attempt.word(self._position) + " "
        line = _line(_Chunk(self.attempt.id, self._position, text))
        lines = [line]
        if self._rng.random() < faults.crossed_chunks:
            lines.insert(0, _line(_Chunk(other, self._position, "crossed ")))
        if self._rng.random() < faults.duplicate_chunks:
            lines.append(line)
        return lines

    def _end_line(self) -> bytes:
        served = self.attempt.served
        return _line(
            _EndMarker(
                self.attempt.id, True, served.total, served.prefill_tokens, served.cached_tokens
            )
        )


def _line(value: msgspec.Struct) -> bytes:
    return msgspec.json.encode(value) + b"\n"
