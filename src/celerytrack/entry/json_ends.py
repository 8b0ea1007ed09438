"""Whether the JSON of an answer may go on where its connection ended."""

import aiohttp

from celerytrack.platform.http import Framing, framing_of

JSON_TYPE = "application/json"


def may_go_on(answer: aiohttp.ClientResponse, last_byte: bytes) -> bool:
    """Whether an answer that ended with its connection may lack something.

    The beginning of a number is a number; of the other values only the whole is valid.

    :param last_byte: of its body.
    """
    is_unframed = framing_of(answer.headers) is Framing.CONNECTION
    return is_unframed and answer.content_type == JSON_TYPE and last_byte.isdigit()
