"""Reading of callers' bodies: JSON objects, or the reason why a body is none."""

import json
import zlib
from typing import Any

from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError


class MalformedRequestError(ValueError):
    """A body can't be read; the message says why, for the caller."""


async def read_json_object(request: web.Request) -> dict[str, Any]:
    """The JSON object in the body of a request.

    It is UTF-8, whatever the headers say. Escapes of half a surrogate pair are taken,
    and go on to the back end as they came: some clients cut texts inside a character,
    and an engine can tell better than an entry what to make of it.

    :raises MalformedRequestError: if there is none.
    """
    try:
        raw = await request.read()
    except (web.RequestPayloadError, HttpProcessingError, zlib.error):
        raise MalformedRequestError("the body's encoding can't be read") from None
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
