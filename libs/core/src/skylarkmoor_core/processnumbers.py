"""Numbers that identify what a process has made, also after it was replaced."""

from skylarkmoor_core.ids import Incarnation

__all__ = ["ProcessNumbers"]

# Numbers for each millisecond between two starts on a host. Shifted start times fit into the 64-bit
# integers of messages.
_BITS = 20


class ProcessNumbers:
    """Counts from the start time of the process, so that no two processes of a host share a number.

    Parameters
    ----------
    incarnation : Incarnation
        Start time of the process.

    Examples
    --------
    >>> earlier, later = ProcessNumbers(Incarnation(1)), ProcessNumbers(Incarnation(2))
    >>> number = earlier.draw()
    >>> earlier.includes(number), later.includes(number)
    (True, False)
    """

    def __init__(self, incarnation: Incarnation) -> None:
        self._first = (incarnation << _BITS) + 1
        self._next = self._first

    def draw(self) -> int:
        """Return the next number."""
        number = self._next
        self._next += 1
        return number

    def includes(self, number: int) -> bool:
        """Return whether this process has drawn a number."""
        return self._first <= number < self._next
