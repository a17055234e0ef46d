"""The protocol that a format towards callers implements."""

from typing import Protocol

from cuminbend.query import SearchAnswer, SearchRequest
from cuminbend.submit import SubmitAnswer, SubmitRequest
from starlette.requests import Request
from starlette.responses import Response


class CallerFormat(Protocol):
    """Converts HTTP requests to searches and submits, and answers to responses."""

    def search_request(self, request: Request, body: bytes) -> SearchRequest:
        """Return the search that a caller asks for.

        Raises:
            InvalidRequestError: If a header is malformed.
        """

    def search_response(self, answer: SearchAnswer) -> Response:
        """Return the response for an answer."""

    def submit_request(self, request: Request, body: bytes) -> SubmitRequest:
        """Return the submit that a caller asks for.

        Raises:
            InvalidRequestError: If a header is malformed.
        """

    def submit_response(self, answer: SubmitAnswer) -> Response:
        """Return the response for an answer."""
