"""Lists every fault of a service document."""

import types
from collections.abc import Iterator
from typing import Any, Union, get_args, get_origin

import msgspec

from skylarkmoor_core.document import ServiceDocument, decode_document
from skylarkmoor_core.errors import DocumentError

__all__ = ["MAX_DOCUMENT_BYTES", "load_document"]

# A document with 1,800 customers takes about 160 kB; the log's pages hold at most 8 MB.
MAX_DOCUMENT_BYTES = 1_000_000


def load_document(data: bytes) -> ServiceDocument:
    """Read a service document and report all of its faults together.

    Raises
    ------
    ExceptionGroup
        Of `DocumentError`; each message starts with the field's path. The rules between
        fields are checked only once every field has its right type.
    """
    if len(data) > MAX_DOCUMENT_BYTES:
        raise _group([f"$: {len(data)} bytes exceed {MAX_DOCUMENT_BYTES}"])
    try:
        return decode_document(data)
    except DocumentError as error:
        raise _group(list(_json_faults(data)) or [str(error)]) from error


def _group(faults: list[str]) -> "ExceptionGroup[DocumentError]":
    return ExceptionGroup("service document is invalid", [DocumentError(text) for text in faults])


def _json_faults(data: bytes) -> Iterator[str]:
    try:
        value = msgspec.json.decode(data)
    except (msgspec.DecodeError, RecursionError) as error:
        yield f"$: {error}"
        return
    yield from _shape_faults("$", value, ServiceDocument)


def _shape_faults(path: str, value: Any, kind: Any) -> Iterator[str]:
    # msgspec stops at the first fault, so each part is converted on its own.
    if get_origin(kind) in (Union, types.UnionType):
        if value is None:
            return
        kind = next(part for part in get_args(kind) if part is not type(None))
    if isinstance(value, dict) and isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        yield from _struct_faults(path, value, kind)
    elif isinstance(value, list) and get_origin(kind) is tuple:
        for i, item in enumerate(value):
            yield from _shape_faults(f"{path}[{i}]", item, get_args(kind)[0])
    else:
        try:
            msgspec.convert(value, kind)
        except msgspec.ValidationError as error:
            yield f"{path}: {error}"


def _struct_faults(path: str, value: dict[str, Any], kind: type[msgspec.Struct]) -> Iterator[str]:
    fields = {field.encode_name: field for field in msgspec.structs.fields(kind)}
    for name in value:
        if name not in fields:
            yield f"{path}.{name}: no such field"
    for name, field in fields.items():
        if name in value:
            yield from _shape_faults(f"{path}.{name}", value[name], field.type)
        elif field.required:
            yield f"{path}.{name}: missing"
