"""A refusal as a response to the caller."""

import json

from aiohttp import web

from celerytrack.verdict import Refusal


class RefusedError(Exception):
    """The request ends with a refusal or failure of our own."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.detail)
        self.refusal = refusal


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
