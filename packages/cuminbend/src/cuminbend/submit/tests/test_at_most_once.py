"""Randomised test: a submit runs at most once and its run state is correct."""

import pytest
import trio

from cuminbend.exceptions import RequestFailedError, RunState
from cuminbend.replicated import ReplicatedState
from cuminbend.submit import SubmitRequest
from cuminbend.submit.tests._fakes import (
    EPOCH_MS,
    Crashed,
    Process,
    configuration_text,
    make_key,
    run_cluster,
)

INSTANCE_COUNT = 4
CALLER_COUNT = 20
FAULT_RATES = (0.05, 0.15, 0.3)


class ClientWorkload:
    """Callers that resend submits in parallel while instances crash and restart."""

    def __init__(self, cluster, nursery):
        self.cluster = cluster
        self.nursery = nursery
        self.rng = cluster.rng
        self.processes = [None] * INSTANCE_COUNT
        self.boot_count = 0
        self.outcomes = {}
        self.keys = {}
        self.request_numbers = iter(range(10**6))

    def process(self, index):
        process = self.processes[index]
        if process is None or process.has_crashed:
            self.boot_count += 1
            steps = self.rng.choice([None, self.rng.randrange(1, 30)])
            process = Process(
                f"i{index}", self.boot_count, self.cluster, crash_after=steps
            )
            self.processes[index] = process
            self.nursery.start_soon(process.run)
        return process

    async def send(self, key, body, member):
        caller_request_id = f"r{next(self.request_numbers)}"
        self.keys[caller_request_id] = (member, "chairbook", key)
        request = SubmitRequest(
            caller_request_id,
            member,
            "chairbook",
            key,
            body,
            self.rng.choice([50, 300, 2000]),
        )
        process = self.process(self.rng.randrange(INSTANCE_COUNT))
        if self.rng.random() < 0.1:
            process.lease_end_s = trio.current_time() + self.rng.uniform(0, 0.1)
        else:
            process.lease_end_s = trio.current_time() + 3
        with trio.move_on_after(self.rng.choice([0.01, 0.1, 100])):
            try:
                outcome = await process.coordinator.submit(request)
            except Crashed:
                outcome = None
            except RequestFailedError as error:
                outcome = error
            self.outcomes[caller_request_id] = outcome

    async def run_caller(self):
        await trio.sleep(self.rng.uniform(0, 60))
        key_age_ms = self.rng.choice([0, 0, 30_000, 59_000])
        now_ms = EPOCH_MS + trio.current_time() * 1000
        key = make_key(self.rng, now_ms - key_age_ms)
        member = self.rng.choice(["tresscommon", "coulisse"])
        for _ in range(self.rng.randrange(2, 7)):
            async with trio.open_nursery() as nursery:
                for _ in range(self.rng.randrange(1, 4)):
                    nursery.start_soon(self.send, key, key.encode(), member)
            # The pauses lie below and above the duration of a request, the in-progress
            # limit and the retention of claims.
            await trio.sleep(self.rng.choice([0, 0.1, 2, 12, 30, 70]))

    async def run_operator(self):
        while True:
            await trio.sleep(self.rng.uniform(5, 30))
            self.cluster.apply(configuration_text(self.rng.choice([60, 90, 600])))

    async def run_outages(self):
        while True:
            await trio.sleep(self.rng.uniform(1, 10))
            self.cluster.control.has_quorum = False
            await trio.sleep(self.rng.uniform(0.1, 2))
            self.cluster.control.has_quorum = True

    def check_outcomes(self):
        upstreams = self.cluster.upstreams
        assert max(upstreams.runs.values()) == 1
        assert not self.cluster.late_requests
        for caller_request_id, outcome in self.outcomes.items():
            ran = caller_request_id in upstreams.ran_by
            key_ran = self.keys[caller_request_id] in upstreams.runs
            if isinstance(outcome, RequestFailedError):
                assert not (outcome.run_state is RunState.NOT_RUN and ran)
                assert not (outcome.run_state is RunState.RAN and not key_ran)
            elif outcome is not None:
                runner, _, body = outcome.body.decode().partition(" ran ")
                assert upstreams.ran_by[runner] == self.keys[caller_request_id]
                assert body == repr(self.keys[caller_request_id][2].encode())
                assert outcome.replayed is (runner != caller_request_id)

    def check_log_replay(self):
        control = self.cluster.control
        replayed = ReplicatedState()
        for entry in control.log:
            replayed.apply(*entry)
        assert replayed.snapshot() == control.state.snapshot()


@pytest.mark.parametrize("seed", range(40))
def test_submit_runs_at_most_once(seed):
    # Guards against running a key twice and against reporting not_run for a submit that
    # ran, when messages are lost, duplicated or delayed and processes pause or crash.
    async def main(cluster, nursery):
        workload = ClientWorkload(cluster, nursery)
        nursery.start_soon(workload.run_operator)
        nursery.start_soon(workload.run_outages)
        async with trio.open_nursery() as callers:
            for _ in range(CALLER_COUNT):
                callers.start_soon(workload.run_caller)
        await trio.sleep(30)
        workload.check_outcomes()
        workload.check_log_replay()
        kinds = {type(outcome).__name__ for outcome in workload.outcomes.values()}
        assert {"SubmitAnswer", "UnavailableError"} <= kinds

    run_cluster(
        seed, main, fault_rate=FAULT_RATES[seed % len(FAULT_RATES)], pause_rate=0.02
    )
