"""A small cluster and the callers of a session."""

import json
from collections import Counter
from dataclasses import dataclass, field

import anyio
from cuminbend.exceptions import RequestFailedError, RunState
from cuminbend.messages import Announcement, Holding, Snapshot
from cuminbend.query import SearchAnswer, SearchRequest
from cuminbend.submit import SubmitRequest

from inprocess import FakeCluster, FakeInstance, FakeUpstream, FakeUpstreams

DATA_CENTRES = ("limerick", "galway", "cork")
SNAPSHOT = Snapshot("v1", "p1")
MEMBER = "studio-one"
SEARCH_SERVICES = 4
REPLICAS = 2
SUBMIT_SERVICE = "orders"


def make_upstream(service: str, number: int, replica: int, **faults) -> FakeUpstream:
    return FakeUpstream(
        announcement=Announcement(
            upstream=f"{service}-{replica}",
            incarnation=1,
            data_centre=DATA_CENTRES[(number + replica) % len(DATA_CENTRES)],
            address=f"10.0.{number}.{replica}:80",
            service=service,
            holdings=() if service == SUBMIT_SERVICE else (Holding(SNAPSHOT, 0),),
            slots=2,
            connection_limit=25,
        ),
        **faults,
    )


def make_cluster(*, seed: int, submits: bool = False, **faults) -> FakeCluster:
    services = [f"match-{number}" for number in range(SEARCH_SERVICES)]
    if submits:
        services.append(SUBMIT_SERVICE)
    upstreams = [
        make_upstream(service, number, replica, **faults)
        for number, service in enumerate(services)
        for replica in range(REPLICAS)
    ]
    return FakeCluster(
        upstreams=FakeUpstreams(upstreams=upstreams, seed=seed),
        data_centres=DATA_CENTRES,
        instances=6,
        seed=seed,
    )


def operator_file(out: str | None = None) -> str:
    parts = ['[cluster]\nname = "session"']
    parts += [
        f'[[data_centres]]\nname = "{name}"\nin_service = {str(name != out).lower()}'
        for name in DATA_CENTRES
    ]
    parts += [f'[[members]]\nname = "{MEMBER}"\nprefer = "coverage"']
    parts += [
        f'[[services]]\nname = "match-{number}"\ngroup = "matches"\n'
        "shards = { p1 = 1 }"
        for number in range(SEARCH_SERVICES)
    ]
    parts += [
        f'[[services]]\nname = "{SUBMIT_SERVICE}"\ngroup = "orders"\n'
        'mode = "submit"\nshards = { p1 = 1 }'
    ]
    return "\n".join(parts)


def directory(cluster: FakeCluster) -> list[FakeInstance]:
    """Return the instances that callers are told of."""
    asked = max(
        (item for item in cluster.instances.values() if not item.cut),
        key=lambda item: item.view.configuration_version,
    )
    return [cluster.instances[info.instance] for info in asked.view.instances]


def answer_problems(answer: SearchAnswer, request: SearchRequest) -> list[str]:
    """Return what an answer claims against what its upstreams served."""
    problems = []
    answered = set()
    unfinished = {*answer.partial, *answer.missing}
    for reply in answer.replies:
        served = json.loads(reply.body)
        expected = {
            "call": request.caller_request_id,
            "service": reply.service,
            "shard": reply.shard,
            "index_version": answer.snapshot.index_version,
        }
        if served != expected:
            problems.append(f"{request.caller_request_id}: {served} for {expected}")
        if (reply.service, reply.shard) not in unfinished:
            answered.add((reply.service, reply.shard))
    if answer.shards_answered != len(answered):
        problems.append(
            f"{request.caller_request_id}: reports {answer.shards_answered} shards "
            f"and has {len(answered)}"
        )
    if answer.shards_total != SEARCH_SERVICES:
        problems.append(
            f"{request.caller_request_id}: {answer.shards_total} shards in total"
        )
    return problems


@dataclass
class Callers:
    """Sends requests and keeps what came back.

    Attributes:
        problems: Violations that an answer itself shows.
        counts: Searches by second of their end and by result.
        submits: Result of each submit call, by its request id.
    """

    cluster: FakeCluster
    problems: list[str] = field(default_factory=list)
    counts: dict[int, Counter[str]] = field(default_factory=dict)
    submits: dict[str, str] = field(default_factory=dict)

    async def search(self, instance: FakeInstance, call: str, body: bytes) -> None:
        request = SearchRequest(
            caller_request_id=call,
            member=MEMBER,
            target="matches",
            body=body,
            deadline_ms=500,
        )
        try:
            answer = await instance.queries.search(request)
        except RequestFailedError as error:
            result = error.run_state.value
        else:
            self.problems += answer_problems(answer, request)
            is_full = answer.shards_answered == answer.shards_total
            result = "full" if is_full else "partial"
        second = int(anyio.current_time())
        self.counts.setdefault(second, Counter())[result] += 1

    async def submit(self, instance: FakeInstance, call: str, key: str) -> None:
        request = SubmitRequest(
            caller_request_id=call,
            member=MEMBER,
            service=SUBMIT_SERVICE,
            key=key,
            body=key.encode(),
            deadline_ms=500,
        )
        self.submits[call] = RunState.UNKNOWN.value
        try:
            await instance.submits.submit(request)
        except RequestFailedError as error:
            self.submits[call] = error.run_state.value
        else:
            self.submits[call] = "answered"
