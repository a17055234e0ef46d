"""Tests of the submit coordinator, mostly with a single submit."""

import json
from dataclasses import replace

import pytest
import trio

from cuminbend.exceptions import NoQuorumError, RequestFailedError
from cuminbend.messages import UpstreamState, WorkKind
from cuminbend.replicated import ClaimOutcome, RecordOutcome
from cuminbend.submit import SubmitRequest
from cuminbend.submit.tests._fakes import (
    EPOCH_MS,
    Process,
    configuration_text,
    make_key,
    run_cluster,
)

DAY_MS = 86_400_000


def run_with_process(test, **options):
    """Run ``test(cluster, process, request)`` with one process."""

    async def main(cluster, nursery):
        process = Process("i1", 1, cluster)
        nursery.start_soon(process.run)
        key = make_key(cluster.rng, EPOCH_MS)
        request = SubmitRequest("r1", "tresscommon", "chairbook", key, b"body", 300)
        await test(cluster, process, request)

    run_cluster(1, main, **options)


async def submit_failure(process, request):
    with pytest.raises(RequestFailedError) as caught:
        await process.coordinator.submit(request)
    return caught.value


@pytest.mark.parametrize(
    ("fields", "error", "message"),
    [
        ({"member": "nobody"}, "InvalidRequestError", "not declared"),
        ({"service": "nothing"}, "InvalidRequestError", "not declared"),
        ({"service": "fitroom"}, "InvalidRequestError", "searches only"),
        ({"service": "careleaf"}, "InvalidRequestError", "may not use"),
        ({"body": b"x" * 100}, "InvalidRequestError", "at most 99"),
        ({"deadline_ms": 0}, "InvalidRequestError", "deadline"),
        ({"deadline_ms": 2001}, "InvalidRequestError", "deadline"),
        ({"key": ""}, "IdempotencyError", "missing"),
        ({"key": "x"}, "IdempotencyError", "UUIDv7"),
        ({"key": "018bcfe5-6800-4df0-b3d2-c616cb4ac8b4"}, "IdempotencyError", "UUIDv7"),
        ({"age_ms": DAY_MS}, "IdempotencyError", "older than"),
        ({"age_ms": -DAY_MS}, "IdempotencyError", "ahead of the cluster"),
        (
            {"service": "careleaf", "member": "coulisse"},
            "UnavailableError",
            "no upstream",
        ),
    ],
)
def test_refused_submit_leaves_no_claim(fields, error, message):
    # Guards against a refused request that is dispatched or leaves a claim on its key.
    async def test(cluster, process, request):
        changes = dict(fields)
        if "age_ms" in changes:
            changes["key"] = make_key(cluster.rng, EPOCH_MS - changes.pop("age_ms"))
        refused = await submit_failure(process, replace(request, **changes))
        assert (type(refused).__name__, refused.run_state) == (error, "not_run")
        assert message in str(refused)
        assert cluster.upstreams.requests == []
        assert cluster.control.state.dump()["claims"]["claims"] == 0
        (account,) = process.accounts.report()
        assert account.total.refusals[0].kind == error

    run_with_process(test)


@pytest.mark.parametrize(
    ("script", "first", "run_state", "resend"),
    [
        (["run"], "SubmitAnswer", None, "replayed"),
        (["shed", "run"], "SubmitAnswer", None, "replayed"),
        (["shed", "shed", "shed"], "UpstreamError", "not_run", "answered"),
        (["shed", "reset"], "UpstreamError", "unknown", "unknown"),
        (["reset"], "UpstreamError", "unknown", "unknown"),
        (["lost"], "UpstreamError", "unknown", "unknown"),
        (["failed"], "UpstreamError", "ran", "ran"),
        (["hang"], "DeadlineExceededError", "unknown", "unknown"),
        (["bug"], "UnavailableError", "unknown", "unknown"),
        (["crossed"], "UpstreamError", "unknown", "unknown"),
        (["partial"], "UpstreamError", "ran", "ran"),
        (["large"], "SubmitAnswer", None, "ran"),
    ],
)
def test_outcome_and_resend(script, first, run_state, resend):
    # Guards against running a submit again after its reply was lost, and against
    # reporting not_run for a submit that may have run.
    async def test(cluster, process, request):
        cluster.upstreams.script = script
        dispatches = len(script)
        try:
            result = await process.coordinator.submit(request)
        except RequestFailedError as error:
            result = error
        assert type(result).__name__ == first
        assert getattr(result, "run_state", None) == run_state
        assert len(cluster.upstreams.requests) == dispatches
        assert len({item.upstream for item in cluster.upstreams.requests}) == dispatches
        await trio.sleep(2)
        other = Process("i2", 1, cluster)
        again = replace(request, caller_request_id="r2", key=request.key.upper())
        if resend in ("replayed", "answered"):
            answer = await other.coordinator.submit(again)
            assert answer.replayed is (resend == "replayed")
            assert answer.caller_request_id == "r2"
            if answer.replayed:
                assert (answer.upstream, answer.body) == (result.upstream, result.body)
        else:
            error = await submit_failure(other, again)
            assert (error.run_state, error.retry_after_ms) == (resend, None)
        assert max(cluster.upstreams.runs.values(), default=0) <= 1

    run_with_process(test)


def test_resend_with_other_body_or_while_in_progress():
    # Guards against answering a submit whose body differs from the claimed one, and
    # against not_run for a key whose submit runs on another instance.
    async def test(cluster, process, request):
        other = Process("i2", 1, cluster)
        cluster.upstreams.script = ["hang"]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(submit_failure, process, request)
            await trio.sleep(0.1)
            error = await submit_failure(other, replace(request, body=b"other"))
            assert (type(error).__name__, error.run_state) == (
                "IdempotencyError",
                "not_run",
            )
            error = await submit_failure(other, request)
            assert (type(error).__name__, error.run_state) == (
                "UnavailableError",
                "unknown",
            )
            assert error.retry_after_ms

    run_with_process(test)


@pytest.mark.parametrize(
    ("lease_s", "pause_s", "error"),
    [
        (3, 0, None),
        (0, 0, "LeaseExpiredError"),
        (3, 4, "LeaseExpiredError"),
        (9, 4, "DeadlineExceededError"),
    ],
)
def test_process_paused_between_claim_and_dispatch(lease_s, pause_s, error):
    # Guards against a process that is paused between claim and dispatch and sends the
    # submit after its lease or deadline.
    async def test(cluster, process, request):
        process.lease_end_s = lease_s

        async def propose(command, timeout_ms):
            result = cluster.control.commit(command)
            if command.kind == "claim_submit":
                cluster.mock_clock.jump(pause_s)
            return result

        cluster.control.propose = propose
        if error is None:
            await process.coordinator.submit(request)
            return
        refused = await submit_failure(process, request)
        assert (type(refused).__name__, refused.run_state) == (error, "not_run")
        assert refused.retry_after_ms
        await trio.sleep(1)
        assert cluster.upstreams.requests == []
        state = cluster.control.state
        assert state.claim_status("tresscommon", "chairbook", request.key) is None

    run_with_process(test)


def test_configuration_changed_after_claim():
    # Guards against sending a submit to a service that was removed by a configuration
    # applied after the claim.
    async def test(cluster, process, request):
        propose = cluster.control.propose

        async def propose_then_change(command, timeout_ms):
            process.set_configuration(
                configuration_text().replace('"chairbook"', '"other"')
            )
            return await propose(command, timeout_ms)

        cluster.control.propose = propose_then_change
        refused = await submit_failure(process, request)
        assert (type(refused).__name__, refused.run_state) == (
            "InvalidRequestError",
            "not_run",
        )
        assert cluster.upstreams.requests == []

    run_with_process(test)


@pytest.mark.parametrize("committed_before_retry", [False, True])
def test_unconfirmed_claim_is_freed_and_not_dispatched(committed_before_retry):
    # Guards against a claim that is committed late and dispatched after not_run was
    # reported, and against a key that stays unknown although no submit was sent.
    async def test(cluster, process, request):
        cluster.control.has_quorum = False
        proposed_claims = []
        propose = cluster.control.propose

        async def propose_and_keep(command, timeout_ms):
            proposed_claims.append(command)
            return await propose(command, timeout_ms)

        cluster.control.propose = propose_and_keep
        refused = await submit_failure(process, request)
        assert (type(refused).__name__, refused.run_state) == (
            "UnavailableError",
            "not_run",
        )
        assert len({command.claim_id for command in proposed_claims}) == 1
        if committed_before_retry:
            cluster.control.commit(proposed_claims[0])
        cluster.control.has_quorum = True
        await trio.sleep(2)
        cluster.control.commit(proposed_claims[0])
        assert cluster.upstreams.requests == []
        assert process.coordinator.dump()["records"]["waiting"] == []
        answer = await process.coordinator.submit(request)
        assert not answer.replayed

    run_with_process(test)


@pytest.mark.parametrize("kind", ["claim_submit", "record_outcome"])
@pytest.mark.parametrize("error", [None, NoQuorumError("lost"), ValueError("a fault")])
def test_lost_reply_of_control_log(kind, error):
    # Guards against refusing a repeated proposal because the first one was committed
    # under another claim id, and against losing a reply when its record fails.
    async def test(cluster, process, request):
        lost = iter([True])
        propose = cluster.control.propose

        async def lose_first(command, timeout_ms):
            result = await propose(command, timeout_ms)
            if command.kind == kind and next(lost, False):
                if error:
                    raise error
                await trio.sleep_forever()
            return result

        cluster.control.propose = lose_first
        answer = await process.coordinator.submit(replace(request, deadline_ms=2000))
        assert not answer.replayed

    run_with_process(test)


@pytest.mark.parametrize("outage_s", [0, 5, 30])
@pytest.mark.parametrize("cancelled", [False, True])
def test_outcome_is_recorded(outage_s, cancelled):
    # Guards against an outcome that is not recorded after the caller disconnects or the
    # quorum is lost for a short time.
    async def test(cluster, process, request):
        def lose_quorum():
            cluster.control.has_quorum = outage_s == 0

        dispatch = cluster.upstreams.dispatch

        async def dispatch_then_outage(shard_request):
            lose_quorum()
            return await dispatch(shard_request)

        cluster.upstreams.dispatch = dispatch_then_outage
        with trio.move_on_after(0.01 if cancelled else 10) as scope:
            await process.coordinator.submit(request)
            await trio.lowlevel.checkpoint()
        assert scope.cancelled_caught is cancelled
        await trio.sleep(outage_s)
        cluster.control.has_quorum = True
        await trio.sleep(2)
        # The time of the state machine advances only with entries.
        cluster.control.state.apply("noop", b"", cluster.control.now_ms())
        status = cluster.control.state.claim_status(
            "tresscommon", "chairbook", request.key
        )
        # The fakes set record_timeout_ms to 20 s, after which the record is dropped.
        assert status == ("unknown" if outage_s == 30 else "answered")
        assert json.loads(json.dumps(process.coordinator.dump()))["records"] == {
            "waiting": [],
            "given_up": int(outage_s == 30),
        }

    run_with_process(test)


def test_pending_records_are_bounded():
    # Guards against unbounded memory use by pending records while there is no quorum.
    async def test(cluster, process, request):
        cluster.control.has_quorum = False
        recorder = process.coordinator._recorder
        for number in range(1100):
            record = RecordOutcome("m", "s", "k", f"c{number}", ClaimOutcome.UNKNOWN)
            await recorder.record(record, 0)
        assert len(recorder.dump()["waiting"]) == 1000

    run_with_process(test)


@pytest.mark.parametrize(
    ("changes", "in_flight", "data_centre", "expected"),
    [
        ({}, {}, "dc1", "u1"),
        ({}, {}, "dc2", "u2"),
        ({}, {"u1": 1}, "dc1", "u3"),
        ({}, {"u1": 1, "u3": 1}, "dc1", "u2"),
        ({"u1": {"owner": None}}, {}, "dc1", "u3"),
        ({"u1": {"state": UpstreamState.LEAVING}}, {}, "dc1", "u3"),
        ({"u1": {"state": UpstreamState.COLD}}, {}, "dc1", "u3"),
        ({"u1": {"service": "careleaf"}}, {}, "dc1", "u3"),
        ({"dc2": "false"}, {"u1": 1, "u3": 1}, "dc2", "u1"),
    ],
)
def test_choose_upstream(changes, in_flight, data_centre, expected):
    # Guards against choosing an upstream that has no owner, is not ready, serves
    # another service or is in a data centre out of service.
    async def test(cluster, process, request):
        process.local_data_centre = data_centre
        for name, fields in changes.items():
            if name == "dc2":
                process.set_configuration(configuration_text(dc2=fields))
            else:
                cluster.announce(name, "dc1", **fields)
        process.coordinator._in_flight.update(in_flight)
        answer = await process.coordinator.submit(request)
        assert answer.upstream == expected
        (sent,) = cluster.upstreams.requests
        assert (sent.kind, sent.shard, sent.snapshot) == (WorkKind.SUBMIT, -1, None)
        assert (sent.idempotency_key, sent.body) == (request.key, request.body)

    run_with_process(test)
