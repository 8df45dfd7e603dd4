"""Which chunks of which attempt reach the caller of a streamed answer."""

from dataclasses import dataclass

from skylarkmoor_core.ids import AttemptId

__all__ = ["Complete", "Drop", "Emit", "Redo", "Relay", "Resume"]

# An engine that cannot go on after two requests to resume is given up, so that the answer
# is redone elsewhere while its deadline still allows it.
_MAX_RESUMES = 2


@dataclass(frozen=True, slots=True)
class Emit:
    """Send the text of the token at `position` to the caller."""

    position: int
    text: str


@dataclass(frozen=True, slots=True)
class Drop:
    """Ignore what arrived."""

    reason: str


@dataclass(frozen=True, slots=True)
class Resume:
    """Ask the attempt's upstream to continue at `position`, and read only that answer."""

    attempt: AttemptId
    position: int


@dataclass(frozen=True, slots=True)
class Redo:
    """Cancel the attempt and start another one with `text` as prefix of the answer."""

    position: int
    text: str


@dataclass(frozen=True, slots=True)
class Complete:
    """The whole answer of `total` tokens was sent."""

    total: int


class Relay:
    """Decides for one request what is sent to its caller.

    Notes
    -----
    Positions count the tokens of the answer from 0, over all attempts. `total` in an end
    marker is the number of tokens of the whole answer, so an answer completes only when as
    many were sent.
    """

    def __init__(self) -> None:
        self._sent: list[str] = []
        self._attempt: AttemptId | None = None
        self._attempts: set[AttemptId] = set()
        self._resumes = 0
        self._completed = False

    @property
    def position(self) -> int:
        """Number of tokens sent to the caller."""
        return len(self._sent)

    @property
    def text(self) -> str:
        """Text sent to the caller."""
        return "".join(self._sent)

    @property
    def completed(self) -> bool:
        """Whether the whole answer was sent."""
        return self._completed

    def start(self, attempt: AttemptId, start_position: int) -> None:
        """Listen to `attempt` from now on, and to no earlier one.

        Raises
        ------
        ValueError
            If the attempt does not start where the sent text ends, if its id was used before,
            or if the answer is complete.
        """
        if start_position != self.position:
            raise ValueError(f"start_position must be {self.position}, got {start_position}")
        if attempt in self._attempts:
            raise ValueError(f"attempt {attempt!r} was started before")
        if self._completed:
            raise ValueError(f"attempt {attempt!r} starts after the answer was completed")
        self._attempts.add(attempt)
        self._attempt = attempt
        self._resumes = 0

    def chunk(self, attempt: AttemptId, position: int, text: str) -> Emit | Drop | Resume | Redo:
        """Take the token at `position` from an upstream."""
        if attempt != self._attempt:
            return Drop(f"attempt {attempt!r} is not the current one")
        if position < self.position:
            return Drop(f"position {position} was sent before")
        if position > self.position:
            return self._recover(attempt)
        self._sent.append(text)
        self._resumes = 0
        return Emit(position, text)

    def end(self, attempt: AttemptId, total: int) -> Complete | Drop | Resume | Redo:
        """Take an attempt's end marker."""
        if attempt != self._attempt:
            return Drop(f"attempt {attempt!r} is not the current one")
        if total > self.position:
            return self._recover(attempt)
        if total < self.position:
            return self._redo()
        self._attempt = None
        self._completed = True
        return Complete(total)

    def broken(self, attempt: AttemptId) -> Drop | Resume | Redo:
        """Take note that the connection of `attempt` broke before its end marker."""
        if attempt != self._attempt:
            return Drop(f"attempt {attempt!r} is not the current one")
        return self._recover(attempt)

    def gone(self, attempt: AttemptId) -> Drop | Redo:
        """Take note that the upstream cannot resume `attempt`, for instance after a restart."""
        if attempt != self._attempt:
            return Drop(f"attempt {attempt!r} is not the current one")
        return self._redo()

    def _recover(self, attempt: AttemptId) -> Resume | Redo:
        if self._resumes >= _MAX_RESUMES:
            return self._redo()
        self._resumes += 1
        return Resume(attempt, self.position)

    def _redo(self) -> Redo:
        self._attempt = None
        return Redo(self.position, self.text)
