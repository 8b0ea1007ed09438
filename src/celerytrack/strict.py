"""Checked conversion of outside data into typed values, which converts nothing.

Both the operators' own documents and the records of other writers pass here.
Conversion would take ``[]`` for false and ``"2"`` for a number: a slip of the
writer would come into force as something else than was written.
"""

import json
import math
from collections.abc import Callable
from typing import Any

import cattrs

_SHOWN_CHARS = 40
"""Characters of a bad value that an error shows: a record may hold megabytes."""


class UnreadableError(ValueError):
    """Data that is not what it should be; the message names field and reason."""


def _shown(value: Any) -> str:
    """A bad value as an error shows it."""
    if isinstance(value, str) and len(value) > _SHOWN_CHARS:
        return f"text of {len(value)} characters"
    if isinstance(value, int) and value.bit_length() > 64:
        return f"a number of {value.bit_length()} bits"
    if isinstance(value, list | dict | bytes) and value:
        return f"{type(value).__name__} of {len(value)}"
    return json.dumps(value, default=repr)


def _only(
    allowed: str, fits: Callable[[Any], bool], *types: type
) -> Callable[[Any, type], Any]:
    """A hook that takes only values of ``types`` that ``fits`` takes."""

    def check(value: Any, target: type) -> Any:
        # In JSON true and false are no numbers; in Python they are.
        if type(value) not in types or not fits(value):
            raise TypeError(f"must be {allowed}, found {_shown(value)}")
        return target(value)

    return check


def _any(value: Any) -> bool:
    return True


def _finite(value: float) -> bool:
    # An integer beyond the range of a float cannot be asked.
    return isinstance(value, int) and value.bit_length() < 64 or math.isfinite(value)


def strict_converter(forbid_extra_keys: bool) -> cattrs.Converter:
    """A converter whose values must have the declared types as they are.

    :param forbid_extra_keys: whether a field that is not declared is an error.
    """
    converter = cattrs.Converter(forbid_extra_keys=forbid_extra_keys)
    hooks = (
        (bool, _only("true or false", _any, bool)),
        (int, _only("a whole number", _any, int)),
        (float, _only("a number", _finite, int, float)),
        (str, _only("text", _any, str)),
    )
    for target, hook in hooks:
        converter.register_structure_hook(target, hook)
    return converter


def _describe(exc: BaseException, type_: Any) -> str:
    if isinstance(exc, KeyError):
        return f"required field missing {exc}"
    return str(exc)


def structure(converter: cattrs.Converter, data: Any, cls: type[Any]) -> Any:
    """Turn parsed data into ``cls``.

    :raises UnreadableError: naming each bad field path and why.
    """
    try:
        return converter.structure(data, cls)
    except cattrs.BaseValidationError as exc:
        lines = cattrs.transform_error(exc, path="$", format_exception=_describe)
        raise UnreadableError("; ".join(lines)) from None
    except (ValueError, TypeError, OverflowError) as exc:
        raise UnreadableError(f"$: {exc}") from None


def parse_json(raw: bytes | str) -> Any:
    """Parse JSON of another writer.

    :raises UnreadableError: if it is none, nests too deep, names a field of an
        object twice or holds a number that JSON has not.
    """
    try:
        return json.loads(raw, object_pairs_hook=_object, parse_constant=_no_constant)
    except RecursionError:
        # Some 1,000 brackets are enough; uncaught, it would end the task that
        # follows the topic, which then sees no later record either.
        raise UnreadableError("nested too deep") from None
    except ValueError as exc:
        raise UnreadableError(f"not JSON: {exc}") from None


def _object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    value = dict(pairs)
    if len(value) < len(pairs):
        # Readers differ in which of the two they take.
        raise UnreadableError("a field is named twice")
    return value


def _no_constant(name: str) -> Any:
    raise UnreadableError(f"{name} is no JSON number")
