"""A refusal as a response to the caller."""

import json

from aiohttp import web

from celerytrack.verdict import Refusal


def refusal_response(refusal: Refusal, leaving: bool) -> web.Response:
    """The response that carries ``refusal``.

    :param leaving: whether the connection should not be used again.
    """
    response = web.Response(
        status=refusal.http_status,
        body=json.dumps(refusal.to_json()).encode(),
        content_type="application/json",
    )
    if refusal.retry_after_s is not None:
        response.headers["Retry-After"] = f"{refusal.retry_after_s:.3f}"
    if leaving:
        response.force_close()
    return response
