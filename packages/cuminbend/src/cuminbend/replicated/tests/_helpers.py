"""Command factories and a driver for tests of the state machine."""

import random
import uuid

from cuminbend.replicated import (
    ApplyConfiguration,
    ClaimOutcome,
    ClaimSubmit,
    ClaimSuspectRun,
    ClearSuspect,
    RecordCrash,
    RecordOutcome,
    ReplicatedState,
    StateLimits,
    decode_result,
    encode_command,
)

NOW_MS = 1_700_000_000_000
FILE_TEMPLATE = """
[cluster]
name = "one"
claim_retention_s = {retention_s}
[[data_centres]]
name = "dc1"
[[members]]
name = "tresscommon"
[[services]]
name = "chairbook"
mode = "submit"
shards = {{ p1 = 1 }}
"""
SMALL_LIMITS = StateLimits(
    apply_results=4,
    summaries=3,
    texts=2,
    problems=1,
    claims=6,
    freed_ids=2,
    refused_ids=2,
    body_chars=8,
    bodies_chars=12,
    suspects=3,
)


def file_text(retention_s=3600):
    return FILE_TEMPLATE.format(retention_s=retention_s)


def key_created_at(at_ms, number=0):
    return str(uuid.UUID(int=(int(at_ms) << 80) | (7 << 76) | (2 << 62) | number))


class StateMachineDriver:
    """Applies commands to a state machine at a simulated time."""

    def __init__(self, limits=None):
        self.limits = limits
        self.state = ReplicatedState(limits=limits)
        self.at_ms = NOW_MS

    def __call__(self, command, after_ms=0):
        self.at_ms += after_ms
        data = encode_command(command)
        return decode_result(self.state.apply("command", data, self.at_ms))

    def restart(self):
        """Replace the state by a new one restored from its snapshot."""
        data = self.state.snapshot()
        self.state = ReplicatedState(limits=self.limits)
        self.state.restore(data)
        assert self.state.snapshot() == data


def claim(claim_id, *, digest="d", key=None, member="m", service="s"):
    return ClaimSubmit(
        member, service, key or key_created_at(NOW_MS), digest, claim_id, "i1"
    )


def outcome(claim_id, outcome_name="answered", *, key=None, body="", **fields):
    key = key or key_created_at(NOW_MS)
    return RecordOutcome(
        "m", "s", key, claim_id, ClaimOutcome(outcome_name), body, **fields
    )


def crash(fingerprint="f", upstream="u1", incarnation=1, *, alone=False):
    return RecordCrash(fingerprint, upstream, incarnation, alone)


def claim_run(claim_id, fingerprint="f", upstream="u2"):
    return ClaimSuspectRun(fingerprint, upstream, claim_id)


def clear(claim_id="", fingerprint="f"):
    return ClearSuspect(fingerprint, claim_id)


def random_command(rng: random.Random, driver: StateMachineDriver):
    """Return a random command that often refers to the effects of earlier ones."""
    number = rng.randrange(4)
    key = key_created_at(
        NOW_MS + rng.choice([-3_000_000, 0, 0, 90_000]), rng.randrange(3)
    )
    fingerprint = f"f{rng.randrange(5)}"
    return rng.choice(
        [
            ApplyConfiguration(
                f"a{rng.randrange(12)}",
                driver.state.version + rng.choice([0, 0, 0, -1]),
                rng.choice([file_text(60), file_text(7200), "bad", file_text(0)]),
            ),
            claim(f"c{number}", key=key, digest=rng.choice(["d", "d", "e"])),
            outcome(
                f"c{number}",
                rng.choice(list(ClaimOutcome)),
                key=key,
                body="b" * rng.randrange(12),
            ),
            crash(fingerprint, f"u{number}", alone=rng.random() < 0.5),
            claim_run(f"r{number}", fingerprint, f"u{number}"),
            clear(rng.choice(["", f"r{number}"]), fingerprint),
        ]
    )
