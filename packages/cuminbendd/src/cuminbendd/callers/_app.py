"""The HTTP application of an instance."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import anyio
import orjson
from cuminbend.accounts import MemberAccounts
from cuminbend.exceptions import CuminbendError, InvalidRequestError
from cuminbend.ports import Clock, ControlPort, RandomSource
from cuminbend.query import QueryCoordinator
from cuminbend.replicated import ReplicatedState
from cuminbend.sessions import SessionClient
from cuminbend.submit import SubmitCoordinator
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from cuminbendd.callers._base import CallerFormat
from cuminbendd.callers._directory import directory_document
from cuminbendd.callers._http_json import HttpJsonCallerFormat
from cuminbendd.callers._metrics import metrics_response
from cuminbendd.callers._operators import operator_routes
from cuminbendd.callers._problems import problem_response
from cuminbendd.searchers import UpstreamFormat
from cuminbendd.settings import InstanceSettings

Handler = Callable[[Request], Awaitable[Response]]

CALLER_FORMATS: dict[str, type[CallerFormat]] = {"http-json": HttpJsonCallerFormat}

# The largest body that any service may allow; a larger one is refused while it is read.
MAX_BODY_BYTES = 16 * 1024 * 1024


@dataclass(frozen=True)
class CallerServices:
    """Parts of an instance that the HTTP application uses.

    Attributes:
        state: State machine of a voter, or None on an instance without a disk.
        dump: Returns the state dump of the process.
        stop: Starts a planned stop of the instance.
    """

    settings: InstanceSettings
    sessions: SessionClient
    queries: QueryCoordinator
    submits: SubmitCoordinator
    control: ControlPort
    accounts: MemberAccounts
    state: ReplicatedState | None
    upstream_format: UpstreamFormat
    clock: Clock
    random: RandomSource
    dump: Callable[[], dict[str, Any]]
    stop: Callable[[], None]


def make_app(services: CallerServices) -> Starlette:
    """Return the ASGI application."""
    caller_format = CALLER_FORMATS[services.settings.caller_format]()

    async def search(request: Request) -> Response:
        body = await read_body(request)
        search_request = caller_format.search_request(request, body)
        answer = await run_until_disconnect(
            request, lambda: services.queries.search(search_request)
        )
        return caller_format.search_response(answer)

    async def submit(request: Request) -> Response:
        body = await read_body(request)
        submit_request = caller_format.submit_request(request, body)
        answer = await services.submits.submit(submit_request)
        return caller_format.submit_response(answer)

    async def announce(request: Request) -> Response:
        body = await read_body(request)
        announcement = services.upstream_format.decode_announcement(body)
        services.sessions.announce(announcement)
        return Response(status_code=202)

    async def directory(request: Request) -> Response:
        preferred_data_centre = request.query_params.get(
            "data_centre", services.settings.data_centre
        )
        document = directory_document(
            services.sessions.view,
            preferred_data_centre=preferred_data_centre,
            max_age_ms=services.settings.timing.directory_max_age_ms,
            random=services.random,
        )
        return Response(
            orjson.dumps(document),
            media_type="application/json",
            headers={"cache-control": f"max-age={document['max_age_ms'] // 1000}"},
        )

    async def metrics(request: Request) -> Response:
        return metrics_response(services, request)

    routes = [
        Route("/v1/search/{target}", _with_problem_responses(search), methods=["POST"]),
        Route(
            "/v1/submit/{service}", _with_problem_responses(submit), methods=["POST"]
        ),
        Route("/v1/announce", _with_problem_responses(announce), methods=["POST"]),
        Route("/v1/directory", _with_problem_responses(directory)),
        Route("/metrics", _with_problem_responses(metrics)),
        *(
            Route(path, _with_problem_responses(handler), methods=[method])
            for method, path, handler in operator_routes(services, read_body)
        ),
    ]
    return Starlette(routes=routes)


async def read_body(request: Request) -> bytes:
    """Return the request body.

    Raises:
        InvalidRequestError: If it is larger than any service may allow.
    """
    parts: list[bytes] = []
    size_bytes = 0
    async for part in request.stream():
        size_bytes += len(part)
        if size_bytes > MAX_BODY_BYTES:
            raise InvalidRequestError(
                f"the body is larger than {MAX_BODY_BYTES} bytes; send a smaller one"
            )
        parts.append(part)
    return b"".join(parts)


async def run_until_disconnect(
    request: Request, run: Callable[[], Awaitable[Any]]
) -> Any:
    """Return the result of ``run``, which is cancelled if the caller disconnects.

    Raises:
        CuminbendError: The error that ``run`` raised.
        InvalidRequestError: If the caller disconnected before there was a result.
    """
    result: list[Any] = []
    failure: list[CuminbendError] = []
    async with anyio.create_task_group() as group:

        async def watch_for_disconnect() -> None:
            while (await request.receive())["type"] != "http.disconnect":
                pass
            group.cancel_scope.cancel()

        group.start_soon(watch_for_disconnect)
        try:
            result.append(await run())
        except CuminbendError as error:
            failure.append(error)
        group.cancel_scope.cancel()
    if failure:
        raise failure[0]
    if not result:
        raise InvalidRequestError("the caller closed the connection")
    return result[0]


def _with_problem_responses(handler: Handler) -> Handler:
    async def respond(request: Request) -> Response:
        try:
            return await handler(request)
        except CuminbendError as error:
            return problem_response(error, request.headers.get("x-request-id", ""))

    return respond
