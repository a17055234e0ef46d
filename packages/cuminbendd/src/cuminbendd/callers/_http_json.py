"""JSON bodies and ``x-`` headers towards callers."""

import uuid

import orjson
from cuminbend.exceptions import InvalidRequestError
from cuminbend.messages import Snapshot
from cuminbend.query import SearchAnswer, SearchRequest
from cuminbend.submit import SubmitAnswer, SubmitRequest
from starlette.requests import Request
from starlette.responses import Response


class HttpJsonCallerFormat:
    """Implements :class:`cuminbendd.callers._base.CallerFormat`."""

    def search_request(self, request: Request, body: bytes) -> SearchRequest:
        """Return the search that a caller asks for."""
        headers = request.headers
        snapshot = None
        if "x-index-version" in headers:
            snapshot = Snapshot(
                headers["x-index-version"], headers.get("x-partitioning", "")
            )
        return SearchRequest(
            caller_request_id=_read_request_id(request),
            member=_read_member(request),
            target=request.path_params["target"],
            body=_check_json_body(body),
            deadline_ms=_read_deadline_ms(request),
            snapshot=snapshot,
        )

    def search_response(self, answer: SearchAnswer) -> Response:
        """Return results with the snapshot and the coverage they have."""
        document = {
            "request_id": answer.caller_request_id,
            "snapshot": {
                "index_version": answer.snapshot.index_version,
                "partitioning": answer.snapshot.partitioning,
            },
            "coverage": {
                "shards": answer.shards_total,
                "answered": answer.shards_answered,
                "missing": [f"{service}/{shard}" for service, shard in answer.missing],
                "partial": [f"{service}/{shard}" for service, shard in answer.partial],
            },
            "results": [
                {
                    "service": reply.service,
                    "shard": reply.shard,
                    "body": orjson.Fragment(reply.body),
                }
                for reply in answer.replies
            ],
            "elapsed_ms": round(answer.elapsed_ms, 3),
            "attempts": answer.attempts,
            "hedges": answer.hedges,
        }
        return _json_response(document, answer.caller_request_id)

    def submit_request(self, request: Request, body: bytes) -> SubmitRequest:
        """Return the submit that a caller asks for."""
        deadline_ms = _read_deadline_ms(request)
        return SubmitRequest(
            caller_request_id=_read_request_id(request),
            member=_read_member(request),
            service=request.path_params["service"],
            key=request.headers.get("idempotency-key", ""),
            body=_check_json_body(body),
            deadline_ms=None if deadline_ms is None else round(deadline_ms),
        )

    def submit_response(self, answer: SubmitAnswer) -> Response:
        """Return the upstream's reply."""
        document = {
            "request_id": answer.caller_request_id,
            "run_state": "ran",
            "replayed": answer.replayed,
            "result": orjson.Fragment(answer.body),
        }
        return _json_response(document, answer.caller_request_id)


def _json_response(document: dict[str, object], request_id: str) -> Response:
    return Response(
        orjson.dumps(document),
        media_type="application/json",
        headers={"x-request-id": request_id},
    )


def _read_request_id(request: Request) -> str:
    return request.headers.get("x-request-id") or uuid.uuid4().hex


def _read_member(request: Request) -> str:
    member = request.headers.get("x-member")
    if not member:
        raise InvalidRequestError("the header x-member is missing; name the member")
    return member


def _read_deadline_ms(request: Request) -> float | None:
    text = request.headers.get("x-deadline-ms")
    if text is None:
        return None
    try:
        return float(text)
    except ValueError as error:
        raise InvalidRequestError(
            f"the header x-deadline-ms is {text!r}; send a number of milliseconds"
        ) from error


def _check_json_body(body: bytes) -> bytes:
    try:
        orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise InvalidRequestError(f"the body is not valid JSON: {error}") from error
    return body
