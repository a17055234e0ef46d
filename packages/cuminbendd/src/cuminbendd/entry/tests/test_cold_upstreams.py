"""Tests of the limits on requests to cold upstreams, summed over all instances."""

from dataclasses import replace

import pytest
from cuminbend.crashes import CrashSettings, CrashSuspects
from cuminbend.forwarding import (
    RecoveryEstimate,
    RecoverySettings,
    Route,
    RoutingTable,
    ServicePolicy,
)
from cuminbend.registry import Registration, UpstreamState

from cuminbendd.entry import EntrySettings, HeaderNames
from cuminbendd.entry._cold import is_designated_sender
from cuminbendd.entry._crash_watch import CrashWatch
from cuminbendd.entry._upstreams import UpstreamDirectory
from cuminbendd.metrics import Metrics

INSTANCES = tuple(f"entry-{number}" for number in range(8))
UPSTREAMS = tuple(f"u{number}" for number in range(30))


class FakeClock:
    """A clock that tests advance."""

    def __init__(self) -> None:
        self.now_ms = 1000.0

    def monotonic_ms(self) -> float:
        return self.now_ms


def registration(upstream: str, **changes: object) -> Registration:
    fields: dict[str, object] = {
        "upstream": upstream,
        "service": f"service-{upstream}",
        "address": "127.0.0.1:9",
        "data_centre": "a",
        "slots": 2,
        "state": UpstreamState.READY,
        "cold_left_ms": 60_000.0,
        "incarnation_ms": 1,
        "sequence": 1,
        "holder": "c",
    }
    return Registration(**{**fields, **changes})  # type: ignore[arg-type]


def make_directory(name: str, clock: FakeClock, rate_per_s: float) -> UpstreamDirectory:
    directory = UpstreamDirectory(
        settings=EntrySettings(
            instance=name,
            data_centre="a",
            caller_address="127.0.0.1:9",
            control_addresses=(),
        ),
        recovery=RecoveryEstimate(
            settings=RecoverySettings(),
            clock=clock,  # type: ignore[arg-type]
        ),
        clock=clock,  # type: ignore[arg-type]
        header_names=HeaderNames(),
        metrics=Metrics(),
        crash_watch=CrashWatch(
            suspects=CrashSuspects(settings=CrashSettings(), clock=clock)  # type: ignore[arg-type]
        ),
    )
    services = {
        f"service-{upstream}": ServicePolicy(
            name=f"service-{upstream}",
            max_connections=30,
            cold_start_s=3.0,
            cold_rate_per_s=rate_per_s,
        )
        for upstream in UPSTREAMS
    }
    route = Route(
        name="r",
        host="h",
        path_prefix="/",
        idempotent=True,
        timeout_ms=1000.0,
        objective_ms=100.0,
        max_attempts=2,
        shards=tuple(services),
    )
    directory.set_table(RoutingTable(version=1, routes=(route,), services=services))
    directory.set_entries(dict.fromkeys(INSTANCES, "a"))
    directory.merge_registrations(map(registration, UPSTREAMS), is_full=True)
    return directory


def count_allowed_attempts(directories: list[UpstreamDirectory]) -> dict[str, int]:
    """Ask each instance for an attempt at each upstream; count the allowed ones.

    All instances have news of the control group.
    """
    for directory in directories:
        directory.record_news()
    return {
        upstream: sum(
            directory.choose_pool(f"service-{upstream}") is not None
            for directory in directories
        )
        for upstream in UPSTREAMS
    }


def test_one_instance_sends_to_a_cold_upstream() -> None:
    """Guards against instances that each keep the limit but exceed it together."""
    clock = FakeClock()
    directories = [make_directory(name, clock, 0.0) for name in INSTANCES]
    assert set(count_allowed_attempts(directories).values()) == {1}
    # A second request has to wait because of the rate limit.
    assert set(count_allowed_attempts(directories).values()) == {0}
    sender_counts = [
        sum(
            is_designated_sender(upstream, own_instance=name, candidates=INSTANCES)
            for upstream in UPSTREAMS
        )
        for name in INSTANCES
    ]
    assert sum(sender_counts) == len(UPSTREAMS)
    assert max(sender_counts) < len(UPSTREAMS) / 2


@pytest.mark.parametrize(("rate_per_s", "allowed"), [(0.0, 1.0), (8.0, 4.0)])
def test_cold_upstream_gets_no_more_than_its_rate(
    rate_per_s: float, allowed: float
) -> None:
    """Guards against more load than a cold upstream can take.

    Half of the declared rate is left for a change of the sending instance.
    """
    clock = FakeClock()
    directories = [make_directory(name, clock, rate_per_s) for name in INSTANCES]
    count_allowed_attempts(directories)
    total = 0
    for _ in range(1000):
        clock.now_ms += 10.0
        total += count_allowed_attempts(directories)["u0"]
    assert total <= 10 * allowed + 1


def test_upstream_that_becomes_cold_again_is_rate_limited() -> None:
    """Guards against full load on an upstream that reports that it is cold again."""
    clock = FakeClock()
    directories = [make_directory(name, clock, 0.0) for name in INSTANCES]
    registrations = [registration(u, cold_left_ms=0.0, sequence=2) for u in UPSTREAMS]
    for directory in directories:
        directory._policies.clear()
        directory.merge_registrations(registrations, is_full=False)
    assert set(count_allowed_attempts(directories).values()) == {len(INSTANCES)}
    cold = [replace(r, cold_left_ms=3000.0, sequence=3) for r in registrations]
    for directory in directories:
        directory.merge_registrations(cold, is_full=False)
    assert set(count_allowed_attempts(directories).values()) == {1}


@pytest.mark.parametrize("isolation_ms", [2000.0, 8000.0])
def test_isolated_instance_sends_nothing_to_cold_upstreams(isolation_ms: float) -> None:
    """Guards against two senders after an instance was cut off or paused.

    The other instances no longer count the isolated one and choose another sender,
    while the isolated one still believes that it is the sender.
    """
    clock = FakeClock()
    isolated = make_directory(INSTANCES[0], clock, 0.0)
    isolated.record_news()
    own_upstreams = [
        upstream
        for upstream in UPSTREAMS
        if is_designated_sender(
            upstream, own_instance=INSTANCES[0], candidates=INSTANCES
        )
    ]
    clock.now_ms += isolation_ms
    assert own_upstreams
    for upstream in own_upstreams:
        assert isolated.choose_pool(f"service-{upstream}") is None
    isolated.record_news()
    for upstream in own_upstreams:
        assert isolated.choose_pool(f"service-{upstream}") is not None
