"""HTTP/1.1 over asyncio protocols and the httptools parser."""

from cuminbendd.http1._messages import HttpRequest, HttpResponse, reason_phrase
from cuminbendd.http1._response_memory import ResponseMemory
from cuminbendd.http1._server import HttpServer, RequestHandler, Responder
from cuminbendd.http1._upstream import (
    AttemptObserver,
    FailureKind,
    ResponseHeaderNames,
    UpstreamConnection,
    UpstreamResponse,
)

__all__ = [
    "AttemptObserver",
    "FailureKind",
    "HttpRequest",
    "HttpResponse",
    "HttpServer",
    "RequestHandler",
    "Responder",
    "ResponseHeaderNames",
    "ResponseMemory",
    "UpstreamConnection",
    "UpstreamResponse",
    "reason_phrase",
]
