"""Responses that carry refusals."""

import json

from aiohttp import web

from celerytrack.verdict import Refusal


class RefusedError(Exception):
    """The request ends with a refusal or failure that this entry generates."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.detail)
        self.refusal = refusal


def refusal_response(refusal: Refusal, close_connection: bool) -> web.Response:
    """Make the response that carries ``refusal``.

    :param close_connection: whether the caller must not reuse the connection.
    """
    response = web.Response(
        status=refusal.http_status,
        body=json.dumps(refusal.to_json()).encode(),
        content_type="application/json",
    )
    if refusal.retry_after_s is not None:
        response.headers["Retry-After"] = f"{refusal.retry_after_s:.3f}"
    if close_connection:
        response.force_close()
    return response
