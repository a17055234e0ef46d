"""Metrics in the Prometheus text format."""

from dataclasses import asdict
from typing import Any

from aioprometheus.collectors import Gauge, Registry
from aioprometheus.renderer import render
from starlette.requests import Request
from starlette.responses import Response

from cuminbendd.callers._services import CallerServices


def metrics_response(services: CallerServices, request: Request) -> Response:
    """Return the metrics of this instance.

    The registry is built for each request from counters that the core library keeps
    without a metrics library.
    """
    registry = Registry()
    view = services.sessions.view
    _make_gauge(
        registry, "cuminbend_lease_remaining_ms", "Time left of the lease."
    ).set({}, max(0.0, view.lease.remaining_ms()))
    _make_gauge(
        registry, "cuminbend_configuration_version", "Configuration version held."
    ).set({}, view.configuration_version)
    owned = _make_gauge(registry, "cuminbend_owned_upstreams", "Upstreams owned.")
    owned.set({}, len(view.owned))
    _add_member_metrics(registry, services)
    content, headers = render(registry, request.headers.getlist("accept"))
    return Response(content, headers=headers)


def _add_member_metrics(registry: Registry, services: CallerServices) -> None:
    gauges: dict[str, Any] = {}
    for member in services.accounts.report():
        for usage in member.services:
            labels = {"member": member.member, "service": usage.service}
            for name, value in asdict(usage).items():
                if not isinstance(value, int | float):
                    continue
                metric = f"cuminbend_member_{name}"
                if metric not in gauges:
                    gauges[metric] = _make_gauge(
                        registry, metric, name.replace("_", " ")
                    )
                gauges[metric].set(labels, value)


def _make_gauge(registry: Registry, name: str, description: str) -> Gauge:
    return Gauge(name, description, registry=registry)
