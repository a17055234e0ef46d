"""A small cluster and its callers, for tests with faults over several seconds."""

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


def make_cluster(*, seed: int, with_submits: bool = False, **faults) -> FakeCluster:
    services = [f"match-{number}" for number in range(SEARCH_SERVICES)]
    if with_submits:
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


def operator_file(evacuated: str | None = None) -> str:
    parts = ['[cluster]\nname = "session"']
    parts += [
        f'[[data_centres]]\nname = "{name}"\n'
        f"in_service = {str(name != evacuated).lower()}"
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


def instances_in_directory(cluster: FakeCluster) -> list[FakeInstance]:
    """Return the instances in the directory of the newest configuration.

    The directory is that of the reachable instance with the highest version.
    """
    directory_instance = max(
        (item for item in cluster.instances.values() if not item.is_cut_off),
        key=lambda item: item.view.configuration_version,
    )
    return [
        cluster.instances[info.instance] for info in directory_instance.view.instances
    ]


def find_answer_problems(answer: SearchAnswer, request: SearchRequest) -> list[str]:
    """Return the contradictions between an answer and what its upstreams served."""
    problems = []
    answered = set()
    unfinished = {*answer.partial, *answer.missing}
    for reply in answer.replies:
        served_request = json.loads(reply.body)
        expected = {
            "call": request.caller_request_id,
            "service": reply.service,
            "shard": reply.shard,
            "index_version": answer.snapshot.index_version,
        }
        if served_request != expected:
            problems.append(
                f"{request.caller_request_id}: {served_request} for {expected}"
            )
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
    """Sends requests and records their results.

    Attributes:
        problems: Contradictions found in answers.
        result_counts: Number of searches by second of their end and by result.
        submit_results: Result of each submit call, by the caller's request id.
    """

    cluster: FakeCluster
    problems: list[str] = field(default_factory=list)
    result_counts: dict[int, Counter[str]] = field(default_factory=dict)
    submit_results: dict[str, str] = field(default_factory=dict)

    async def search(
        self, instance: FakeInstance, caller_request_id: str, body: bytes
    ) -> None:
        request = SearchRequest(
            caller_request_id=caller_request_id,
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
            self.problems += find_answer_problems(answer, request)
            is_full = answer.shards_answered == answer.shards_total
            result = "full" if is_full else "partial"
        second = int(anyio.current_time())
        self.result_counts.setdefault(second, Counter())[result] += 1

    async def submit(
        self, instance: FakeInstance, caller_request_id: str, key: str
    ) -> None:
        request = SubmitRequest(
            caller_request_id=caller_request_id,
            member=MEMBER,
            service=SUBMIT_SERVICE,
            key=key,
            body=key.encode(),
            deadline_ms=500,
        )
        self.submit_results[caller_request_id] = RunState.UNKNOWN.value
        try:
            await instance.submits.submit(request)
        except RequestFailedError as error:
            self.submit_results[caller_request_id] = error.run_state.value
        else:
            self.submit_results[caller_request_id] = "answered"
