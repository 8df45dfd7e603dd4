"""Decodes bytes that others have sent, with one kind of error."""

from typing import TypeVar

import msgspec

from skylarkmoor_core.errors import MessageError

__all__ = ["decode"]

T = TypeVar("T")


def decode(
    decoder: msgspec.msgpack.Decoder[T] | msgspec.json.Decoder[T], data: bytes, what: str
) -> T:
    """Return what `data` holds.

    Parameters
    ----------
    what : str
        What it should be, for the error.

    Raises
    ------
    MessageError
        If the bytes hold something else.
    """
    try:
        return decoder.decode(data)
    except msgspec.DecodeError as error:
        raise MessageError(f"not a {what}: {error}") from error
    # Raised in place of a decoding error by an unknown field that is nested too deeply.
    except RecursionError as error:
        raise MessageError(f"not a {what}: {error}") from error
