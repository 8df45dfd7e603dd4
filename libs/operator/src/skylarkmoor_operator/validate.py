"""Decodes a service document and reports all of its faults at once."""

import types
from collections.abc import Iterator
from typing import Any, Union, get_args, get_origin

import msgspec

from skylarkmoor_core.document import ServiceDocument, decode_document
from skylarkmoor_core.errors import DocumentError

__all__ = ["MAX_DOCUMENT_BYTES", "decode_document_with_all_faults"]

# A document with 1,800 customers takes about 160 kB; a page of the log holds at most 8 MB.
MAX_DOCUMENT_BYTES = 1_000_000


def decode_document_with_all_faults(data: bytes) -> ServiceDocument:
    """Decode a service document and report all of its faults together.

    Raises
    ------
    ExceptionGroup
        Contains `DocumentError` items whose messages start with the path of the field. Rules
        that involve several fields are checked only if every field has the right type.
    """
    if len(data) > MAX_DOCUMENT_BYTES:
        raise _fault_group([f"$: {len(data)} bytes exceed the limit of {MAX_DOCUMENT_BYTES} bytes"])
    try:
        return decode_document(data)
    except DocumentError as error:
        raise _fault_group(list(_decoding_faults(data)) or [str(error)]) from error


def _fault_group(faults: list[str]) -> "ExceptionGroup[DocumentError]":
    return ExceptionGroup("service document is invalid", [DocumentError(text) for text in faults])


def _decoding_faults(data: bytes) -> Iterator[str]:
    try:
        value = msgspec.json.decode(data)
    except (msgspec.DecodeError, RecursionError) as error:
        yield f"$: {error}"
        return
    yield from _type_faults("$", value, ServiceDocument)


def _type_faults(path: str, value: Any, expected_type: Any) -> Iterator[str]:
    # msgspec stops at the first error, so each field and list item is converted separately.
    if get_origin(expected_type) in (Union, types.UnionType):
        if value is None:
            return
        expected_type = next(part for part in get_args(expected_type) if part is not type(None))
    if (
        isinstance(value, dict)
        and isinstance(expected_type, type)
        and issubclass(expected_type, msgspec.Struct)
    ):
        yield from _field_faults(path, value, expected_type)
    elif isinstance(value, list) and get_origin(expected_type) is tuple:
        for i, item in enumerate(value):
            yield from _type_faults(f"{path}[{i}]", item, get_args(expected_type)[0])
    else:
        try:
            msgspec.convert(value, expected_type)
        except msgspec.ValidationError as error:
            yield f"{path}: {error}"


def _field_faults(
    path: str, value: dict[str, Any], expected_type: type[msgspec.Struct]
) -> Iterator[str]:
    fields = {field.encode_name: field for field in msgspec.structs.fields(expected_type)}
    for name in value:
        if name not in fields:
            yield f"{path}.{name}: no such field"
    for name, field in fields.items():
        if name in value:
            yield from _type_faults(f"{path}.{name}", value[name], field.type)
        elif field.required:
            yield f"{path}.{name}: missing"
