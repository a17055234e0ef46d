"""Shared parts of the policy benchmarks: deployment, load and samples."""

import random
import statistics
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import anyio
from cuminbend.exceptions import RequestFailedError
from cuminbend.messages import Announcement, Holding, Snapshot
from cuminbend.query import QuerySettings, SearchRequest
from cuminbend.upstreams import GateSettings
from inprocess import FakeCluster, FakeUpstream, FakeUpstreams

DATA_CENTRES = ("limerick", "galway", "cork")
SNAPSHOT = Snapshot("v1", "p1")
MEMBERS = ("studio-one", "studio-two")
SEED = 20261204


@dataclass(frozen=True)
class Deployment:
    """Sizes of the cluster of one benchmark; the defaults are those of Tresscommon."""

    services: int = 50
    replicas: int = 2
    slots: int = 2
    connection_limit: int = 25
    service_ms: float = 5.0
    connect_ms: float = 6.0
    instances: int = 8
    cross_data_centre_ms: float = 0.5
    prefer: str = "latency"
    canary: bool = True
    seed: int = SEED

    def upstreams(self) -> FakeUpstreams:
        """Return the fake upstreams; replicas are in different data centres."""
        fake_upstreams = []
        for number in range(self.services):
            for replica in range(self.replicas):
                fake_upstreams.append(
                    FakeUpstream(
                        announcement=Announcement(
                            upstream=f"match-{number:02}-{replica}",
                            incarnation=1,
                            data_centre=DATA_CENTRES[(number + replica) % 3],
                            address=f"10.0.{number}.{replica}:80",
                            service=f"match-{number:02}",
                            holdings=(Holding(SNAPSHOT, 0),),
                            slots=self.slots,
                            connection_limit=self.connection_limit,
                        ),
                        service_ms=self.service_ms,
                        connect_ms=self.connect_ms,
                    )
                )
        return FakeUpstreams(upstreams=fake_upstreams, seed=self.seed)

    def operator_file(self, evacuated: Sequence[str] = ()) -> str:
        """Return the operator file with ``evacuated`` data centres out of service."""
        parts = ['[cluster]\nname = "bench"']
        parts += [
            f'[[data_centres]]\nname = "{name}"\n'
            f"in_service = {'false' if name in evacuated else 'true'}"
            for name in DATA_CENTRES
        ]
        parts += [
            f'[[members]]\nname = "{name}"\nprefer = "{self.prefer}"'
            for name in MEMBERS
        ]
        parts += [
            f'[[services]]\nname = "match-{number:02}"\ngroup = "matches"\n'
            f"shards = {{ p1 = 1 }}\ncanary = {str(self.canary).lower()}"
            for number in range(self.services)
        ]
        return "\n".join(parts)

    def cluster(
        self,
        *,
        query_settings: QuerySettings | None = None,
        gate_settings: GateSettings | None = None,
    ) -> FakeCluster:
        """Return a cluster that is not running yet."""
        return FakeCluster(
            upstreams=self.upstreams(),
            data_centres=DATA_CENTRES,
            instances=self.instances,
            cross_data_centre_ms=self.cross_data_centre_ms,
            seed=self.seed,
            query_settings=query_settings,
            gate_settings=gate_settings,
        )


@dataclass(frozen=True)
class Sample:
    """Result and latency of one query at its caller."""

    started_s: float
    elapsed_ms: float
    coverage: float
    error: str = ""
    member: str = MEMBERS[0]

    @property
    def has_full_coverage(self) -> bool:
        """Whether the answer has full coverage."""
        return not self.error and self.coverage == 1.0


@dataclass
class Samples:
    """All queries of one run."""

    items: list[Sample] = field(default_factory=list)
    attempts: int = 0
    shards_answered: int = 0

    def quantile(self, share: float, member: str | None = None) -> float:
        """Return a latency quantile of the answered queries in milliseconds.

        Args:
            share: Quantile between 0 and 1.
            member: Member whose queries count; None for all.

        Returns:
            Infinity if no query was answered.
        """
        values = sorted(
            item.elapsed_ms
            for item in self.items
            if not item.error and member in (None, item.member)
        )
        if not values:
            return float("inf")
        return values[min(len(values) - 1, int(share * len(values)))]

    def started_between(self, start_s: float, end_s: float) -> "Samples":
        """Return the queries that started from ``start_s`` to before ``end_s``."""
        return Samples(
            [item for item in self.items if start_s <= item.started_s < end_s]
        )

    @property
    def goodput(self) -> int:
        """Number of queries answered with full coverage."""
        return sum(item.has_full_coverage for item in self.items)

    @property
    def failed(self) -> int:
        """Number of queries that failed."""
        return sum(bool(item.error) for item in self.items)

    @property
    def uncovered(self) -> int:
        """Number of answers below full coverage."""
        return sum(not item.error and item.coverage < 1 for item in self.items)

    @property
    def mean_coverage(self) -> float:
        """Mean coverage of the answers."""
        return statistics.fmean(i.coverage for i in self.items if not i.error)


class Load:
    """Sends searches in a Poisson process, to the instances in turn."""

    def __init__(
        self, *, cluster: FakeCluster, deadline_ms: float = 1000, seed: int = SEED
    ) -> None:
        self._cluster = cluster
        self._deadline_ms = deadline_ms
        self._random = random.Random(seed)
        self._search_count = 0
        self.samples = Samples()

    async def run(
        self,
        *,
        rate_per_s: float,
        seconds: float,
        member: str = MEMBERS[0],
        is_usable: Callable[[str], bool] = lambda _: True,
    ) -> None:
        """Send for ``seconds`` and wait for the last answer.

        Args:
            rate_per_s: Mean rate of searches.
            seconds: Duration of the load.
            member: Member that sends the searches.
            is_usable: Returns for the name of an instance whether callers use it.
        """
        end_s = anyio.current_time() + seconds
        async with anyio.create_task_group() as group:
            while anyio.current_time() < end_s:
                names = [name for name in self._cluster.instances if is_usable(name)]
                self._search_count += 1
                name = names[self._search_count % len(names)]
                group.start_soon(self._search, name, member, self._search_count)
                await anyio.sleep(self._random.expovariate(rate_per_s))

    async def warm_up(self, *, rate_per_s: float, seconds: float) -> None:
        """Send searches and discard their samples."""
        await self.run(rate_per_s=rate_per_s, seconds=seconds)
        self.samples = Samples()

    async def _search(self, name: str, member: str, number: int) -> None:
        samples = self.samples
        started_s = anyio.current_time()
        coverage, error = 0.0, ""
        try:
            answer = await self._cluster.instances[name].queries.search(
                SearchRequest(
                    caller_request_id=f"q-{number}",
                    member=member,
                    target="matches",
                    body=b'{"q": %d}' % number,
                    deadline_ms=self._deadline_ms,
                )
            )
            coverage = answer.shards_answered / answer.shards_total
            samples.attempts += answer.attempts
            samples.shards_answered += answer.shards_answered
        except RequestFailedError as failure:
            error = f"{type(failure).__name__}:{failure.run_state}"
        elapsed_ms = (anyio.current_time() - started_s) * 1000
        samples.items.append(Sample(started_s, elapsed_ms, coverage, error, member))


@dataclass(frozen=True)
class Row:
    """One line of the result table.

    Attributes:
        bar: Text of the bound, or empty for a row without a bound.
        met: Whether the value is within the bound; None without a bound.
    """

    question: str
    measure: str
    value: float
    bar: str = ""
    met: bool | None = None
