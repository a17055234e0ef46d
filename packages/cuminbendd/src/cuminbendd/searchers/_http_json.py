"""HTTP with JSON bodies and ``x-`` headers towards upstreams."""

from typing import Annotated

import httpcore
import orjson
from cuminbend.exceptions import (
    InvalidRequestError,
    RunState,
    UpstreamError,
    UpstreamErrorKind,
)
from cuminbend.messages import (
    Announcement,
    Holding,
    ShardReply,
    ShardRequest,
    Snapshot,
    UpstreamState,
)
from pydantic import AfterValidator, BaseModel, ConfigDict, Field, ValidationError

from cuminbendd.settings import check_address


class HoldingModel(BaseModel):
    """One shard of one snapshot."""

    model_config = ConfigDict(extra="forbid")
    index_version: str = Field(min_length=1, max_length=128)
    partitioning: str = Field(min_length=1, max_length=64)
    shard: int = Field(ge=0)


class AnnouncementModel(BaseModel):
    """Body of ``POST /v1/announce``."""

    model_config = ConfigDict(extra="forbid")
    upstream: str = Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$")
    incarnation: int = Field(ge=0)
    data_centre: str = Field(min_length=1)
    address: Annotated[str, AfterValidator(check_address)]
    service: str = Field(min_length=1)
    holdings: list[HoldingModel] = []
    slots: int = Field(ge=1, le=10000)
    connection_limit: int = Field(ge=1, le=100000)
    state: UpstreamState = UpstreamState.READY
    ttl_ms: int = Field(default=5000, ge=500, le=600000)
    load: float = Field(default=0.0, ge=0)


class HttpJsonFormat:
    """Implements :class:`cuminbendd.searchers.UpstreamFormat`."""

    def encode_request(
        self, upstream: Announcement, request: ShardRequest, timeout_ms: float
    ) -> httpcore.Request:
        """Return ``POST /search`` or ``POST /submit`` with the ids in headers."""
        headers = [
            (b"host", upstream.address.encode()),
            (b"content-length", str(len(request.body)).encode()),
            (b"content-type", b"application/json"),
            (b"x-request-id", request.request_id.encode()),
            (b"x-caller-request-id", request.caller_request_id.encode()),
            (b"x-service", request.service.encode()),
            (b"x-deadline-ms", str(max(1, int(timeout_ms))).encode()),
        ]
        if request.snapshot is not None:
            headers += [
                (b"x-shard", str(request.shard).encode()),
                (b"x-index-version", request.snapshot.index_version.encode()),
                (b"x-partitioning", request.snapshot.partitioning.encode()),
            ]
        if request.idempotency_key is not None:
            headers.append((b"idempotency-key", request.idempotency_key.encode()))
        path = "/search" if request.snapshot is not None else "/submit"
        host, _, port = upstream.address.rpartition(":")
        url = httpcore.URL(scheme="http", host=host, port=int(port), target=path)
        return httpcore.Request("POST", url, headers=headers, content=request.body)

    def decode_reply(
        self, request: ShardRequest, response: httpcore.Response, body: bytes
    ) -> ShardReply:
        """Return the verified reply; see UpstreamFormat."""
        headers = {
            name.decode("ascii").lower(): value.decode("latin-1")
            for name, value in response.headers
        }
        if response.status != 200:
            raise _make_refusal_error(request, response.status, headers)
        try:
            orjson.loads(body)
            reply = ShardReply(
                request_id=headers["x-request-id"],
                upstream=headers["x-upstream"],
                incarnation=int(headers["x-incarnation"]),
                body=body,
                snapshot=_read_snapshot(headers),
                complete=headers.get("x-complete", "true") == "true",
            )
        except (KeyError, ValueError) as error:
            raise UpstreamError(
                f"upstream {request.upstream} sent a malformed reply ({error}); "
                "check which format it speaks",
                kind=UpstreamErrorKind.MALFORMED,
                run_state=RunState.UNKNOWN,
            ) from error
        if reply.request_id != request.request_id:
            raise UpstreamError(
                f"upstream {request.upstream} answered another request; the "
                "connection is closed",
                kind=UpstreamErrorKind.MISMATCH,
                run_state=RunState.UNKNOWN,
            )
        return reply

    def decode_announcement(self, body: bytes) -> Announcement:
        """Return the announcement; see UpstreamFormat."""
        try:
            model = AnnouncementModel.model_validate_json(body)
        except ValidationError as error:
            first_error = error.errors()[0]
            location = ".".join(str(part) for part in first_error["loc"]) or "body"
            raise InvalidRequestError(f"{location}: {first_error['msg']}") from error
        return Announcement(
            **{
                **model.model_dump(exclude={"holdings"}),
                "holdings": tuple(
                    Holding(Snapshot(item.index_version, item.partitioning), item.shard)
                    for item in model.holdings
                ),
            }
        )


def _read_snapshot(headers: dict[str, str]) -> Snapshot | None:
    if "x-index-version" not in headers:
        return None
    return Snapshot(headers["x-index-version"], headers["x-partitioning"])


def _make_refusal_error(
    request: ShardRequest, status: int, headers: dict[str, str]
) -> UpstreamError:
    refusal = headers.get("x-refused", "")
    is_own_request = headers.get("x-request-id") == request.request_id
    retry_after = headers.get("x-retry-after-ms", "")
    kinds_by_refusal = {
        "shed": UpstreamErrorKind.SHED,
        "draining": UpstreamErrorKind.DRAINING,
        "snapshot": UpstreamErrorKind.MISMATCH,
    }
    # A refusal counts as "not run" only if it carries the id of this request.
    if is_own_request and refusal in kinds_by_refusal:
        return UpstreamError(
            f"upstream {request.upstream} refused the request ({refusal}); ask another",
            kind=kinds_by_refusal[refusal],
            run_state=RunState.NOT_RUN,
            retry_after_ms=int(retry_after) if retry_after.isdigit() else None,
        )
    return UpstreamError(
        f"upstream {request.upstream} failed with status {status}; see its log",
        kind=UpstreamErrorKind.FAILED,
        run_state=RunState.UNKNOWN,
    )
