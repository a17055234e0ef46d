"""Whether a request that broke connections may be sent to another upstream."""

from cuminbend.crashes._table import Verdict


def allows_another_attempt(
    verdict: Verdict, *, was_answered: bool, broken_count: int, has_open_attempts: bool
) -> bool:
    """Return whether a request may get an attempt beside its first ones.

    The load pattern it answers is a request that breaks the connections of all
    upstreams that run it at the same moment, one for each shard: second attempts would
    break those of the other replicas too. Any answer shows that the request is
    harmless. Without one, a first broken connection is retried only when no other
    attempt is open that could still be answered.

    Args:
        verdict: What is known of the crashes of equal requests.
        was_answered: Whether any upstream has answered the request.
        broken_count: Number of its attempts whose connection broke.
        has_open_attempts: Whether attempts have not ended.
    """
    if verdict is Verdict.QUARANTINED:
        return False
    if was_answered:
        return True
    if verdict is Verdict.SUSPECT:
        return False
    return not broken_count or (broken_count == 1 and not has_open_attempts)
