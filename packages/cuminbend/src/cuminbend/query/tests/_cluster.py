"""Fake cluster: view, dispatcher and observer of one entry instance."""

import copy
import random
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field, replace
from datetime import UTC, datetime, timedelta
from typing import Any

import anyio
import trio
import trio.testing

from cuminbend.config import Configuration, parse_configuration
from cuminbend.exceptions import (
    CuminbendError,
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
    UpstreamRecord,
    UpstreamState,
    WorkKind,
)
from cuminbend.query import QueryCoordinator, QuerySettings, SearchAnswer, SearchRequest

OLD = Snapshot("2026-12-01", "p4")
NEW = Snapshot("2026-12-02", "p4")
WIDE = Snapshot("2026-12-02", "p6")

OPERATOR_FILE = """
[cluster]
name = "test"
without_quorum = "{without_quorum}"
[[data_centres]]
name = "a"
[[data_centres]]
name = "b"
[[members]]
name = "fast"
default_deadline_ms = 300
max_deadline_ms = 1000
[[members]]
name = "full"
prefer = "coverage"
[[services]]
name = "fit"
shards = {{ p4 = 4, p6 = 6 }}
members = ["fast", "full"]
max_body_bytes = 100
canary = {canary}
[[services]]
name = "orders"
mode = "submit"
shards = {{ all = 1 }}
"""


def make_configuration(
    *, canary: bool = True, without_quorum: str = "refuse"
) -> Configuration:
    # The parser caches its result, and some tests change parts of it.
    return copy.deepcopy(
        parse_configuration(
            OPERATOR_FILE.format(
                canary=str(canary).lower(), without_quorum=without_quorum
            )
        )
    )


class AnyioClock:
    """Time of the event loop, for which trio can use a mock clock."""

    def now(self) -> datetime:
        return datetime(2026, 12, 4, tzinfo=UTC)

    def monotonic_ms(self) -> float:
        return anyio.current_time() * 1000

    async def sleep(self, delay: timedelta) -> None:
        await anyio.sleep(delay.total_seconds())


@dataclass
class Lease:
    valid: bool = True

    def is_valid(self, for_ms: float = 0) -> bool:
        return self.valid


@dataclass
class SentAttempt:
    """An attempt that reached the fake dispatcher."""

    request: ShardRequest
    at_ms: float
    ended: str = "in flight"


Script = Callable[[ShardRequest], Awaitable[Any]]


@dataclass
class Cluster:
    """Upstreams named ``<service>-<shard>-<replica>``, and their behaviour.

    ``latency_ms`` and ``faults`` apply by upstream; ``script`` runs before them and may
    return a reply or raise. ``serving`` is the snapshot that an upstream answers from,
    by upstream, if it is not the requested one. Upstreams in ``partial`` mark their
    replies as partial.
    """

    configuration: Configuration | None = field(default_factory=make_configuration)
    lease: Lease = field(default_factory=Lease)
    upstreams: dict[str, UpstreamRecord] = field(default_factory=dict)
    quarantined: frozenset[str] = frozenset()
    suspects: dict[str, str] = field(default_factory=dict)
    local_data_centre: str = "a"
    latency_ms: dict[str, float] = field(default_factory=dict)
    faults: dict[str, UpstreamErrorKind] = field(default_factory=dict)
    serving: dict[str, Snapshot] = field(default_factory=dict)
    partial: set[str] = field(default_factory=set)
    script: Script | None = None
    sent: list[SentAttempt] = field(default_factory=list)
    searches: list[dict[str, Any]] = field(default_factory=list)
    attempts: Counter[str] = field(default_factory=Counter)
    clock: AnyioClock = field(default_factory=AnyioClock)

    def add_upstream(
        self, shard: int, replica: str, *snapshots: Snapshot, data_centre: str = "a"
    ) -> str:
        name = f"fit-{shard}-{replica}"
        self.upstreams[name] = UpstreamRecord(
            Announcement(
                upstream=name,
                incarnation=1,
                data_centre=data_centre,
                address="10.0.0.1:1",
                service="fit",
                holdings=tuple(Holding(item, shard) for item in snapshots),
                slots=2,
                connection_limit=25,
            ),
            owner="i1",
        )
        return name

    def set_holdings(self, upstream: str, *holdings: Holding) -> None:
        record = self.upstreams[upstream]
        announcement = replace(record.announcement, holdings=holdings)
        self.upstreams[upstream] = replace(record, announcement=announcement)

    def holders(
        self, service: str, snapshot: Snapshot, shard: int
    ) -> list[UpstreamRecord]:
        assert self.configuration is not None
        return [
            record
            for record in self.upstreams.values()
            if record.announcement.service == service
            and Holding(snapshot, shard) in record.announcement.holdings
            and record.owner is not None
            and record.announcement.state is UpstreamState.READY
            and record.announcement.data_centre
            in self.configuration.data_centres_in_service
        ]

    async def dispatch(self, request: ShardRequest) -> ShardReply:
        sent = SentAttempt(request, self.clock.monotonic_ms())
        self.sent.append(sent)
        try:
            reply = await self._answer(request)
        except anyio.get_cancelled_exc_class():
            sent.ended = "cancelled"
            raise
        except Exception as error:
            sent.ended = str(getattr(error, "kind", type(error).__name__))
            raise
        sent.ended = "ok"
        return reply

    async def _answer(self, request: ShardRequest) -> ShardReply:
        if self.script is not None:
            reply = await self.script(request)
            if reply is not None:
                return reply
        await anyio.sleep(self.latency_ms.get(request.upstream, 3.0) / 1000)
        if request.upstream in self.faults:
            raise upstream_error(self.faults[request.upstream])
        return self.reply(request)

    def reply(self, request: ShardRequest) -> ShardReply:
        snapshot = self.serving.get(request.upstream, request.snapshot)
        assert snapshot is not None
        return ShardReply(
            request_id=request.request_id,
            upstream=request.upstream,
            incarnation=1,
            body=f"{snapshot.index_version}/{snapshot.partitioning}".encode(),
            snapshot=snapshot,
            complete=request.upstream not in self.partial,
        )

    def search_finished(self, **counts: Any) -> None:
        self.searches.append(counts)

    def attempt_finished(
        self,
        *,
        member: str,
        service: str,
        kind: WorkKind,
        outcome: str,
        latency_ms: float,
    ) -> None:
        assert latency_ms >= 0
        self.attempts[outcome] += 1

    def coordinator(self, seed: int = 1, **settings: Any) -> QueryCoordinator:
        return QueryCoordinator(
            settings=QuerySettings(**settings),
            view=self,
            dispatcher=self,
            clock=self.clock,
            random=random.Random(seed),
            observer=self,
        )

    async def pause(self, delay_ms: float) -> None:
        await self.clock.sleep(timedelta(milliseconds=delay_ms))

    async def call_after(self, delay_ms: float, event: Callable[[], Any]) -> None:
        await self.pause(delay_ms)
        event()

    def sent_kinds(self) -> list[str]:
        return [str(sent.request.kind) for sent in self.sent]


def replicated_cluster(*snapshots: Snapshot, **options: Any) -> Cluster:
    """Return a cluster with two replicas of each shard of the first snapshot."""
    cluster = Cluster(**options)
    first = (snapshots or (OLD,))[0]
    for shard in range(int(first.partitioning[1:])):
        for replica, data_centre in (("x", "a"), ("y", "b")):
            cluster.add_upstream(
                shard, replica, *(snapshots or (OLD,)), data_centre=data_centre
            )
    return cluster


def search_request(**changes: Any) -> SearchRequest:
    values = {
        "caller_request_id": "c1",
        "member": "fast",
        "target": "fit",
        "body": b"q",
        **changes,
    }
    return SearchRequest(**values)


def search(
    cluster: Cluster,
    *,
    seed: int = 1,
    settings: dict[str, Any] | None = None,
    events: Sequence[tuple[float, Callable[[], Any]]] = (),
    **changes: object,
) -> SearchAnswer:
    """Return the answer to one search in virtual time.

    ``events`` are calls made at times in milliseconds after the start.
    """
    outcome: list[SearchAnswer | CuminbendError] = []

    async def main() -> None:
        async with anyio.create_task_group() as group:
            for at_ms, event in events:
                group.start_soon(cluster.call_after, at_ms, event)
            coordinator = cluster.coordinator(**(settings or {}))
            try:
                outcome.append(await coordinator.search(search_request(**changes)))
            except CuminbendError as error:
                # Raised outside of the task group, which would wrap it.
                outcome.append(error)
            group.cancel_scope.cancel()

    run_on_trio(main, seed)
    if isinstance(outcome[0], CuminbendError):
        raise outcome[0]
    return outcome[0]


def upstream_error(kind: UpstreamErrorKind) -> UpstreamError:
    kinds = UpstreamErrorKind
    not_run = kind in (kinds.CONNECT, kinds.SHED, kinds.DRAINING)
    state = RunState.NOT_RUN if not_run else RunState.UNKNOWN
    return UpstreamError(f"{kind}; check it", kind=kind, run_state=state)


def run_on_trio(main: Callable[[], Awaitable[Any]], seed: int = 1) -> Any:
    """Run ``main`` in virtual time, with a task order determined by the seed."""
    scheduler: Any = trio._core._run
    scheduler._ALLOW_DETERMINISTIC_SCHEDULING = True
    scheduler._r.seed(seed)
    return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
