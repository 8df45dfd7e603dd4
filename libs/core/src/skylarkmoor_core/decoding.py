"""Decoding of untrusted bytes with a single error type."""

from typing import TypeVar

import msgspec

from skylarkmoor_core.errors import MessageError

__all__ = ["decode"]

T = TypeVar("T")


def decode(
    decoder: msgspec.msgpack.Decoder[T] | msgspec.json.Decoder[T], data: bytes, what: str
) -> T:
    """Decode `data` to the type of `decoder`.

    Parameters
    ----------
    what : str
        Name of the expected kind of data, for the error message.

    Raises
    ------
    MessageError
        If `data` is not a valid encoding of the type.
    """
    try:
        return decoder.decode(data)
    except msgspec.DecodeError as error:
        raise MessageError(f"not a {what}: {error}") from error
    # msgspec raises this instead of a decoding error if an unknown field is nested too deeply.
    except RecursionError as error:
        raise MessageError(f"not a {what}: {error}") from error
