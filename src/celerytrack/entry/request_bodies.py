"""Reading of callers' bodies: JSON objects, or the reason why a body is none."""

import json
from typing import Any

from aiohttp import web

from celerytrack.callers.bodies import BodyReader, BodyRefusedError, too_large
from celerytrack.callers.unpacking import (
    TooLargeError,
    UnpackError,
    parsed_json_bytes,
    unpack,
)

MAX_BODY_BYTES = 4 * 1024 * 1024
"""Largest body of a caller, packed or not."""
BODY_TIMEOUT_S = 120.0
"""Longest time that a body may take to come."""


class MalformedRequestError(ValueError):
    """A body can't be read; the message says why, for the caller."""


async def read_json_object(request: web.Request, reader: BodyReader) -> dict[str, Any]:
    """The JSON object in the body of a request.

    It is UTF-8, whatever the headers say. Escapes of half a surrogate pair are taken,
    and go on to the back end as they came: some clients cut texts inside a character,
    and an engine can tell better than an entry what to make of it.

    :raises MalformedRequestError: if there is none.
    :raises BodyRefusedError: if it isn't read.
    """
    raw = await _read_unpacked(request, reader)
    reader.grow(parsed_json_bytes(raw))
    try:
        body = json.loads(raw.decode())
    except UnicodeDecodeError:
        raise MalformedRequestError("the body is not UTF-8") from None
    except RecursionError:
        raise MalformedRequestError("the body is nested too deep") from None
    except ValueError as exc:
        # The message of an integer that is too long holds only its number of digits.
        raise MalformedRequestError(f"the body is not JSON: {exc}"[:200]) from None
    if not isinstance(body, dict):
        raise MalformedRequestError("the body is not a JSON object")
    return body


async def _read_unpacked(request: web.Request, reader: BodyReader) -> bytes:
    raw = await reader.read()
    encoding = request.headers.get("Content-Encoding", "")
    if not encoding:
        return raw
    reader.grow(MAX_BODY_BYTES)
    try:
        return unpack(raw, encoding, MAX_BODY_BYTES)
    except TooLargeError:
        raise BodyRefusedError(too_large(MAX_BODY_BYTES)) from None
    except UnpackError as exc:
        raise MalformedRequestError(str(exc)) from None


def check_messages(body: dict[str, Any]) -> dict[str, Any]:
    """Return the body of a chat whose messages are a list of objects, or left out.

    :raises MalformedRequestError: if they are not.
    """
    messages = body.get("messages")
    if messages is None:
        return body
    if not isinstance(messages, list):
        raise MalformedRequestError("messages must be a list")
    if not all(isinstance(message, dict) for message in messages):
        raise MalformedRequestError("each message must be an object")
    return body
