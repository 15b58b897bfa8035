"""Answers that report a problem (RFC 9457)."""

from __future__ import annotations

from http import HTTPStatus

import msgspec
from starlette.responses import Response


class Problem(Exception):
    """An answer that is no success.

    Attributes:
        status: Its HTTP status.
        detail: One line for the caller.
        headers: Further headers of the answer.
    """

    def __init__(self, status: int, detail: str, headers: dict[str, str] | None = None) -> None:
        super().__init__(detail)
        self.status, self.detail, self.headers = status, detail, headers or {}


def respond(problem: Problem, request_id: str) -> Response:
    """Make the answer for a problem."""
    body = {
        "type": "about:blank",
        "title": HTTPStatus(problem.status).phrase,
        "status": problem.status,
        "detail": problem.detail,
        "request_id": request_id,
    }
    return Response(
        msgspec.json.encode(body),
        problem.status,
        {**problem.headers, "X-Request-Id": request_id},
        media_type="application/problem+json",
    )
