"""Endpoints that the operator's command line tool uses."""

from collections.abc import Awaitable, Callable
from dataclasses import asdict
from typing import Any

import anyio.to_thread
import orjson
from cuminbend.exceptions import (
    ApplyConflictError,
    ConfigurationError,
    InvalidRequestError,
    UnavailableError,
)
from cuminbend.replicated import ApplyConfiguration, ApplyResult, judge_file
from pydantic import BaseModel, ConfigDict, Field, ValidationError
from starlette.requests import Request
from starlette.responses import Response

from cuminbendd.callers._requests import read_body
from cuminbendd.callers._services import CallerServices

Handler = Callable[[Request], Awaitable[Response]]

APPLY_TIMEOUT_MS = 5000.0


class ApplyModel(BaseModel):
    """Body of ``POST /v1/configuration``."""

    model_config = ConfigDict(extra="forbid")
    apply_id: str = Field(min_length=8, max_length=128)
    base_version: int = Field(ge=0)
    text: str
    operator: str = ""


def operator_routes(
    services: CallerServices,
) -> list[tuple[str, str, Handler]]:
    """Return method, path and handler of each endpoint for operators."""

    async def apply(request: Request) -> Response:
        try:
            model = ApplyModel.model_validate_json(await read_body(request))
        except ValidationError as error:
            first_error = error.errors()[0]
            raise InvalidRequestError(
                f"{first_error['loc']}: {first_error['msg']}"
            ) from error
        # A large file takes too long for the event loop.
        verdict = await anyio.to_thread.run_sync(judge_file, model.text)
        command = ApplyConfiguration(**model.model_dump(), verdict=verdict)
        result: ApplyResult = await services.control.propose(command, APPLY_TIMEOUT_MS)
        if result.problems:
            raise ConfigurationError(list(result.problems))
        if not result.accepted:
            raise ApplyConflictError(
                base_version=model.base_version,
                version_in_force=result.version_in_force,
            )
        return _json_response({"accepted": True, "version": result.version})

    async def configuration(request: Request) -> Response:
        view = services.sessions.view
        return _json_response(
            {
                "current": view.lease.is_valid(),
                "version": view.configuration_version,
                "in_force_version": view.in_force_version,
                "text": view.configuration_text,
            }
        )

    async def history(request: Request) -> Response:
        if services.state is None:
            voters = ", ".join(voter.instance for voter in services.settings.voters)
            raise UnavailableError(
                f"this instance keeps no history; ask one of the voters: {voters}"
            )
        view = services.sessions.view
        return _json_response(
            {
                "current": view.lease.is_valid(),
                "history": [asdict(item) for item in services.state.history()],
            }
        )

    async def status(request: Request) -> Response:
        view = services.sessions.view
        return _json_response(
            {
                "instance": services.settings.instance,
                "data_centre": services.settings.data_centre,
                "current": view.lease.is_valid(),
                "leader": view.leader,
                "configuration_version": view.configuration_version,
                "in_force_version": view.in_force_version,
                "instances": [asdict(item) for item in view.instances],
                "upstreams": [
                    {
                        "upstream": name,
                        "service": record.announcement.service,
                        "data_centre": record.announcement.data_centre,
                        "state": record.announcement.state,
                        "owner": record.owner,
                    }
                    for name, record in sorted(view.upstreams.items())
                ],
            }
        )

    async def dump(request: Request) -> Response:
        return _json_response(services.dump())

    async def report(request: Request) -> Response:
        return _json_response(
            {"members": [asdict(row) for row in services.accounts.report()]}
        )

    async def drain(request: Request) -> Response:
        services.stop()
        return _json_response({"draining": True})

    return [
        ("POST", "/v1/configuration", apply),
        ("GET", "/v1/configuration", configuration),
        ("GET", "/v1/configuration/history", history),
        ("GET", "/v1/status", status),
        ("GET", "/v1/dump", dump),
        ("GET", "/v1/report", report),
        ("POST", "/v1/drain", drain),
    ]


def _json_response(document: dict[str, Any]) -> Response:
    return Response(
        orjson.dumps(document, option=orjson.OPT_NON_STR_KEYS, default=str),
        media_type="application/json",
    )
