"""Strict structuring of external data into typed values, without coercion.

It is used for operators' documents and for the records of other writers. Coercion
would accept ``[]`` as false and ``"2"`` as a number, so a writer's mistake would
take effect as a value that was never written.
"""

import json
from collections.abc import Callable
from typing import Any

import cattrs

_MAX_SHOWN_CHARS = 40
"""Characters of a bad value shown in an error, because a record may hold megabytes."""
MAX_NUMBER = 2**63
"""Numbers are below this in magnitude, so that each encoder and timer takes them."""
_MAX_DIGITS = 400
"""Digits of a number above the largest float."""
_BOUNDED = f"between {-MAX_NUMBER} and {MAX_NUMBER}"


class UnreadableError(ValueError):
    """Invalid external data; the message names the field and the reason."""


def _render(value: Any) -> str:
    """A short rendering of a bad value for an error message."""
    if isinstance(value, str) and len(value) > _MAX_SHOWN_CHARS:
        return f"text of {len(value)} characters"
    if isinstance(value, int) and value.bit_length() > 64:
        return f"a number of {value.bit_length()} bits"
    if isinstance(value, list | dict | bytes) and value:
        return f"{type(value).__name__} of {len(value)}"
    return json.dumps(value, default=repr)


def _accept_only(
    allowed: str, within: str, fits: Callable[[Any], bool], *types: type
) -> Callable[[Any, type], Any]:
    """A structure hook that accepts values of ``types`` only if ``fits`` holds.

    :param within: what ``fits`` asks of such a value.
    """

    def check(value: Any, target: type) -> Any:
        # bool is a subclass of int in Python, but JSON booleans are not numbers.
        if type(value) not in types:
            raise TypeError(f"must be {allowed}, found {_render(value)}")
        if not fits(value):
            raise TypeError(f"must be {allowed} {within}, found {_render(value)}")
        return target(value)

    return check


def _accept_any(value: Any) -> bool:
    return True


def is_encodable(text: str) -> bool:
    """Whether ``text`` has a UTF-8 form: it holds no half of a surrogate pair.

    A JSON escape such as ``\\ud83d`` yields such a half, and no encoder takes it.
    """
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _is_bounded(value: float) -> bool:
    return -MAX_NUMBER < value < MAX_NUMBER


def strict_converter(forbid_extra_keys: bool) -> cattrs.Converter:
    """A converter that accepts only values of the declared types.

    :param forbid_extra_keys: whether an undeclared field is an error.
    """
    converter = cattrs.Converter(forbid_extra_keys=forbid_extra_keys)
    hooks = (
        (bool, _accept_only("true or false", "", _accept_any, bool)),
        (int, _accept_only("a whole number", _BOUNDED, _is_bounded, int)),
        (float, _accept_only("a number", _BOUNDED, _is_bounded, int, float)),
        (str, _accept_only("text", "that has a UTF-8 form", is_encodable, str)),
    )
    for target, hook in hooks:
        converter.register_structure_hook(target, hook)
    return converter


def _describe(exc: BaseException, type_: Any) -> str:
    if isinstance(exc, KeyError):
        return f"required field missing {exc}"
    return str(exc)


def structure(converter: cattrs.Converter, data: Any, cls: type[Any]) -> Any:
    """Structure parsed data as ``cls``.

    :raises UnreadableError: naming the path of each bad field and the reason.
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

    :raises UnreadableError: if it is invalid, is nested too deeply, repeats a field
        of an object or holds a number that JSON does not define.
    """
    try:
        # Given bytes, json.loads would let through those that are half a character.
        text = raw if isinstance(raw, str) else raw.decode(json.detect_encoding(raw))
        return json.loads(
            text,
            object_pairs_hook=_object_without_duplicates,
            parse_constant=_reject_constant,
        )
    except RecursionError:
        # Some 1,000 brackets suffice to raise it. Uncaught, it would end the task that
        # follows the topic, which would then not see any later record either.
        raise UnreadableError("nested too deep") from None
    except ValueError as exc:
        raise UnreadableError(f"not JSON: {exc}") from None


def parse_lenient(text: str) -> Any:
    """Parse JSON in which a number may have any number of digits.

    One with more than Python converts becomes infinite: whoever checks the record that
    holds it rejects that, and the others around it are read.

    :raises ValueError: if it is invalid.
    :raises RecursionError: if it is nested too deeply.
    """
    try:
        return json.loads(text)
    except json.JSONDecodeError:
        raise
    except ValueError:
        return json.loads(text, parse_int=_int_or_infinite)


def _int_or_infinite(digits: str) -> float:
    return int(digits) if len(digits) <= _MAX_DIGITS else float(digits)


def _object_without_duplicates(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    value = dict(pairs)
    if len(value) < len(pairs):
        # JSON parsers differ in which of the two values they use.
        raise UnreadableError("a field is named twice")
    return value


def _reject_constant(name: str) -> Any:
    raise UnreadableError(f"{name} is no JSON number")
