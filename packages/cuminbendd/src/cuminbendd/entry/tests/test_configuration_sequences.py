"""Random sequences of configurations, with requests that overlap the changes."""

import asyncio
import random
from dataclasses import dataclass, replace

import pytest
from cuminbend.forwarding import Route, RoutingTable, ServicePolicy, WeightedService

from cuminbendd.entry.tests._harness import (
    Answer,
    EntryHarness,
    FakeUpstream,
    SeenRequest,
    run,
    signed_response,
    wait_until,
)
from cuminbendd.feed import EntryInfo, Update

SERVICES = tuple(f"s{number}" for number in range(8))
PREFIXES = ("/", "/a/", "/a/b/", "/a/b/c/", "/d/")
PATHS = ("/x", "/a/x", "/a/b/x", "/a/b/c/x", "/a/bc/x", "/d/x")
# Fewer names than routes, so that several routes have the same one.
NAMES = ("r", "q")
CHANGE_COUNT = 15
REQUESTS_PER_CHANGE = 8


def random_route(rng: random.Random, prefix: str) -> Route:
    """Return a route to one service, to weighted services or to shards."""
    fields: dict[str, object] = {"backends": (WeightedService(SERVICES[0], 1.0),)}
    services = rng.sample(SERVICES, rng.randint(1, 3))
    if rng.random() < 0.4:
        services = rng.sample(SERVICES, rng.randint(1, len(SERVICES)))
        fields = {"shards": tuple(services), "backends": (), "top_k": 3}
    else:
        fields["backends"] = tuple(
            WeightedService(name, rng.uniform(0.1, 1.0)) for name in services
        )
    return Route(
        name=rng.choice(NAMES),
        host="h",
        path_prefix=prefix,
        idempotent=True,
        timeout_ms=2000.0,
        objective_ms=300.0,
        max_attempts=2,
        min_coverage=0.3,
        **fields,  # type: ignore[arg-type]
    )


def next_table(rng: random.Random, table: RoutingTable) -> RoutingTable:
    """Return a later configuration: routes move, change names, split and merge."""
    routes = {route.path_prefix: route for route in table.routes}
    for prefix in rng.sample(PREFIXES, rng.randint(1, 3)):
        if prefix in routes and rng.random() < 0.3:
            del routes[prefix]
        elif prefix in routes and rng.random() < 0.3:
            routes[prefix] = replace(routes[prefix], name=rng.choice(NAMES))
        else:
            routes[prefix] = random_route(rng, prefix)
    ordered = list(routes.values())
    rng.shuffle(ordered)
    # A service that no route names may be taken out, and come back later.
    named = {name for route in ordered for name in route.services}
    return RoutingTable(
        version=table.version + rng.randint(1, 3),
        routes=tuple(ordered),
        services={
            name: ServicePolicy(name=name, max_connections=rng.choice((30, 100)))
            for name in SERVICES
            if name in named or rng.random() < 0.5
        },
    )


def select_route(table: RoutingTable, path: str) -> Route | None:
    """Return the route of a path, found without the index of the table."""
    matching = [route for route in table.routes if path.startswith(route.path_prefix)]
    return max(matching, key=lambda route: len(route.path_prefix), default=None)


@dataclass
class Exchange:
    """A request, and the configurations that may decide about it.

    Attributes:
        history: All configurations of the instance.
        start: Position of the configuration that was in force at the sending.
        end: Position behind the configuration in force at the answer.
    """

    path: str
    history: list[RoutingTable]
    start: int
    end: int | None = None
    answer: Answer | None = None

    @property
    def routes(self) -> list[Route | None]:
        """Route of the request in each configuration so far."""
        tables = self.history[self.start : self.end]
        return [select_route(table, self.path) for table in tables]


class Deployment:
    """Two entry instances that help each other, in different data centres."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.exchanges: dict[str, Exchange] = {}
        self.upstreams = [
            FakeUpstream(f"{service}-{number}", service, self._make_reply(service))
            for service in SERVICES
            for number in range(2)
        ]
        self.entries = [
            EntryHarness(*self.upstreams, name=name, helper_address="127.0.0.1:0")
            for name in ("e1", "e2")
        ]
        self.entries[1].upstreams = ()
        self.histories: list[list[RoutingTable]] = [
            [harness.table] for harness in self.entries
        ]
        self.violations: list[str] = []
        self._stamp_count = 0

    def _make_reply(self, service: str):  # type: ignore[no-untyped-def]
        async def reply(request: SeenRequest) -> bytes:
            self._check_arrival(service, request)
            await asyncio.sleep(self.rng.choice((0.0, 0.002, 0.02)))
            self._stamp_count += 1
            stamp = b"%s.%d" % (service.encode(), self._stamp_count)
            return signed_response(request, service.encode() * 8, stamp)

        return reply

    def _check_arrival(self, service: str, request: SeenRequest) -> None:
        request_id = request.headers[b"x-request-id"].decode()
        exchange = self.exchanges[request_id]
        if not any(route and service in route.services for route in exchange.routes):
            self.violations.append(f"{request_id}: {exchange.path} at {service}")

    async def run(self) -> None:
        first, second = self.entries
        async with first, second:
            self._connect_entries()
            await wait_until(lambda: bool(first.entry._peers.usable_counts()))
            tasks = []
            for _ in range(CHANGE_COUNT):
                table = next_table(self.rng, self.histories[0][-1])
                for index in self.rng.sample((0, 1), 2):
                    self._apply(index, table)
                    tasks += [
                        asyncio.ensure_future(self._send())
                        for _ in range(REQUESTS_PER_CHANGE)
                    ]
                    await asyncio.sleep(self.rng.choice((0.0, 0.001, 0.01)))
            await asyncio.gather(*tasks)

    def _connect_entries(self) -> None:
        entries = tuple(
            EntryInfo(
                instance=name,
                address=f"x:{name}",
                data_centre=data_centre,
                helper_address=f"127.0.0.1:{harness.entry._helper.port}",
                is_active=True,
            )
            for harness, name, data_centre in zip(
                self.entries, ("e1", "e2"), ("a", "b"), strict=True
            )
        )
        # Each service runs in one data centre, so that fan-outs need the other entry
        # instance.
        registrations = [
            self.entries[0].registration(
                upstream,
                data_centre="a" if upstream.service in SERVICES[:4] else "b",
                sequence=2,
                slots=50,
            )
            for upstream in self.upstreams
        ]
        for harness in self.entries:
            harness.announce(*registrations)
            harness.entry.on_update("c1", Update(is_current=True, entries=entries))

    def _apply(self, index: int, table: RoutingTable) -> None:
        harness = self.entries[index]
        harness.table = table
        harness.entry.on_update(
            "c1", Update(is_current=True, content=b"-", version=table.version)
        )
        assert harness.entry.version == table.version
        self.histories[index].append(table)

    async def _send(self) -> None:
        request_id = f"id-{len(self.exchanges)}"
        index = self.rng.randrange(2)
        history = self.histories[index]
        exchange = Exchange(self.rng.choice(PATHS), history, start=len(history) - 1)
        self.exchanges[request_id] = exchange
        exchange.answer = await self.entries[index].send_request(
            path=exchange.path, request_id=request_id
        )
        exchange.end = len(history)

    def check_answers(self) -> None:
        for request_id, exchange in self.exchanges.items():
            assert exchange.answer is not None
            if not any(
                _is_allowed(exchange.answer, route) for route in exchange.routes
            ):
                self.violations.append(
                    f"{request_id}: {exchange.path} {exchange.answer.status} "
                    f"{exchange.answer.headers} {exchange.routes}"
                )


def _is_allowed(answer: Answer, route: Route | None) -> bool:
    """Return whether an instance with this route may give the answer."""
    if route is None or answer.status != 200:
        return (route is None) == (answer.status == 404)
    if not route.shards:
        stamp = answer.headers.get(b"x-stamp", b"").decode()
        return stamp.split(".")[0] in route.services
    parts = answer.headers.get(b"x-part-stamps", b"").decode().split(", ")
    shards = {part.split(".")[0] for part in parts}
    missing = int(answer.headers.get(b"x-missing-parts", b"0"))
    return shards <= set(route.shards) and len(shards) + missing == len(route.shards)


@pytest.mark.parametrize("seed", range(20))
def test_requests_run_only_where_their_configuration_allows(seed: int) -> None:
    """Guards against requests that another service runs than their route names.

    The state of a route was kept by its name, which other routes may have as well.
    """
    deployment = Deployment(random.Random(seed))
    run(deployment.run)
    deployment.check_answers()
    assert deployment.violations == []
    statuses = [
        exchange.answer.status
        for exchange in deployment.exchanges.values()
        if exchange.answer is not None
    ]
    assert statuses.count(200) > len(statuses) / 2
