"""The HTTP application of an instance."""

from collections.abc import Awaitable, Callable

import orjson
from cuminbend.exceptions import CuminbendError
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
from cuminbendd.callers._requests import read_body, run_until_disconnect
from cuminbendd.callers._services import CallerServices

Handler = Callable[[Request], Awaitable[Response]]

CALLER_FORMATS: dict[str, type[CallerFormat]] = {"http-json": HttpJsonCallerFormat}


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
            for method, path, handler in operator_routes(services)
        ),
    ]
    return Starlette(routes=routes)


def _with_problem_responses(handler: Handler) -> Handler:
    async def respond(request: Request) -> Response:
        try:
            return await handler(request)
        except CuminbendError as error:
            return problem_response(error, request.headers.get("x-request-id", ""))

    return respond
