"""Commands and shortcuts for tests of the state machine."""

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
FILE = """
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
SMALL = StateLimits(
    verdicts=4,
    summaries=3,
    past_texts=2,
    problems=1,
    claims=6,
    freed_ids=2,
    refused_ids=2,
    body_chars=8,
    bodies_chars=12,
    suspects=3,
)


def file_text(retention_s=3600):
    return FILE.format(retention_s=retention_s)


def key_at(at_ms, number=0):
    return str(uuid.UUID(int=(int(at_ms) << 80) | (7 << 76) | (2 << 62) | number))


class Machine:
    """A state with a log position, driven by commands."""

    def __init__(self, limits=None):
        self.limits = limits
        self.state = ReplicatedState(limits=limits)
        self.at_ms = NOW_MS

    def __call__(self, command, after_ms=0):
        self.at_ms += after_ms
        data = encode_command(command)
        return decode_result(self.state.apply("command", data, self.at_ms))

    def restart(self):
        """Continue from a snapshot in a new process."""
        data = self.state.snapshot()
        self.state = ReplicatedState(limits=self.limits)
        self.state.restore(data)
        assert self.state.snapshot() == data


def claim(claim_id, *, digest="d", key=None, member="m", service="s"):
    return ClaimSubmit(member, service, key or key_at(NOW_MS), digest, claim_id, "i1")


def outcome(claim_id, how="answered", *, key=None, body="", **fields):
    key = key or key_at(NOW_MS)
    return RecordOutcome("m", "s", key, claim_id, ClaimOutcome(how), body, **fields)


def crash(fingerprint="f", upstream="u1", incarnation=1, *, alone=False):
    return RecordCrash(fingerprint, upstream, incarnation, alone)


def run(claim_id, fingerprint="f", upstream="u2"):
    return ClaimSuspectRun(fingerprint, upstream, claim_id)


def clear(claim_id="", fingerprint="f"):
    return ClearSuspect(fingerprint, claim_id)


def random_command(rng: random.Random, machine: Machine):
    """Return a command that often meets the state that earlier ones left."""
    number = rng.randrange(4)
    key = key_at(NOW_MS + rng.choice([-3_000_000, 0, 0, 90_000]), rng.randrange(3))
    fingerprint = f"f{rng.randrange(5)}"
    return rng.choice(
        [
            ApplyConfiguration(
                f"a{rng.randrange(12)}",
                machine.state.version + rng.choice([0, 0, 0, -1]),
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
            run(f"r{number}", fingerprint, f"u{number}"),
            clear(rng.choice(["", f"r{number}"]), fingerprint),
        ]
    )
