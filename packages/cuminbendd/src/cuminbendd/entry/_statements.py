"""What upstreams state of themselves, shared with the other instances."""

import logging
from collections.abc import Collection, Iterable

from cuminbend.forwarding import (
    LimitShare,
    Replica,
    StatedLimitSettings,
    sender_rates,
)
from cuminbend.registry import UpstreamStatement

logger = logging.getLogger(__name__)

# A limit that differs from the reported one by less than this share is not reported.
_MIN_REPORTED_CHANGE = 0.1
# A report holds at most this many statements; the rest is in the next one.
_MAX_REPORTED = 256


class StatementSharing:
    """Merges what this instance hears from upstreams with what others have heard.

    What arrives last holds. A statement heard here is reported until the control group
    passes on one about the same upstream.

    Args:
        own_instance: Name of this instance.
        settings: Settings of the shares.
    """

    def __init__(self, *, own_instance: str, settings: StatedLimitSettings) -> None:
        self._own_instance = own_instance
        self._settings = settings
        self._senders: Collection[str] = (own_instance,)
        self._limited: dict[str, Replica] = {}
        self._unconfirmed: dict[str, UpstreamStatement] = {}
        self._passed_on: dict[str, UpstreamStatement] = {}

    def record_limit(
        self, replica: Replica, limit_per_s: float | None, *, now_ms: float
    ) -> bool:
        """Record the limit that an answer of an upstream states.

        Returns:
            Whether it differs from what was known.
        """
        share = replica.limit_share
        known_per_s = share.limit_per_s if share else None
        if limit_per_s == known_per_s:
            return False
        self._apply(replica, limit_per_s, now_ms)
        if _is_reported_change(known_per_s, limit_per_s):
            self._update_report(replica, now_ms)
        return True

    def record_leaving(self, replica: Replica, *, now_ms: float) -> bool:
        """Record that an upstream says that it leaves; return whether that is new."""
        if not replica.record_leaving(now_ms=now_ms):
            return False
        self._update_report(replica, now_ms)
        return True

    def record_end(self, replica: Replica, *, now_ms: float) -> None:
        """Record that the process of an upstream has ended, to report it."""
        self._update_report(replica, now_ms)

    def _update_report(self, replica: Replica, now_ms: float) -> None:
        """Report what is known of an upstream unless the group has passed it on."""
        statement = _statement_of(replica, now_ms)
        passed_on = self._passed_on.get(replica.upstream)
        if passed_on is not None:
            statement = statement.with_final_states_of(passed_on)
        if passed_on == statement:
            self._unconfirmed.pop(replica.upstream, None)
        else:
            self._unconfirmed[replica.upstream] = statement

    def merge(
        self,
        statements: Iterable[UpstreamStatement],
        replicas: dict[str, Replica],
        *,
        is_full: bool,
        now_ms: float,
    ) -> None:
        """Apply statements that other instances have heard.

        Args:
            statements: Statements that changed, or all.
            replicas: The known upstreams.
            is_full: Whether these are all statements. A control instance that has just
                started does not know all limits, so the missing ones are reported.
            now_ms: Monotonic time in ms.
        """
        if is_full:
            self._passed_on.clear()
        for statement in statements:
            self._passed_on[statement.upstream] = statement
            self._unconfirmed.pop(statement.upstream, None)
            replica = replicas.get(statement.upstream)
            if (
                replica is not None
                and replica.incarnation_ms == statement.incarnation_ms
            ):
                self._merge_statement(statement, replica, now_ms)
        if is_full:
            for upstream, replica in self._limited.items():
                if upstream not in self._passed_on:
                    self._update_report(replica, now_ms)

    def _merge_statement(
        self, statement: UpstreamStatement, replica: Replica, now_ms: float
    ) -> None:
        self._apply(replica, statement.limit_per_s, now_ms)
        if statement.is_leaving and replica.record_leaving(now_ms=now_ms):
            logger.info(
                "event=leaving_learned upstream=%s service=%s",
                replica.upstream,
                replica.service,
            )
        # Only this instance may have heard that the upstream leaves.
        self._update_report(replica, now_ms)

    def report(self) -> tuple[UpstreamStatement, ...]:
        """Return what the control group has yet to pass on."""
        return tuple(self._unconfirmed.values())[:_MAX_REPORTED]

    def set_senders(self, instances: Collection[str], *, now_ms: float) -> None:
        """Set the instances that share the limits."""
        if instances == self._senders:
            return
        self._senders = instances
        for replica in self._limited.values():
            if replica.limit_share is not None:
                self._apply(replica, replica.limit_share.limit_per_s, now_ms)

    def remove(self, upstream: str) -> None:
        """Forget the limit of an upstream that is gone."""
        self._limited.pop(upstream, None)
        self._unconfirmed.pop(upstream, None)
        self._passed_on.pop(upstream, None)

    def _apply(
        self, replica: Replica, limit_per_s: float | None, now_ms: float
    ) -> None:
        if limit_per_s is None:
            replica.limit_share = None
            self._limited.pop(replica.upstream, None)
            return
        rates = sender_rates(
            replica.upstream,
            limit_per_s,
            candidates=self._senders,
            settings=self._settings,
        )
        rate_per_s = rates.get(self._own_instance, 0.0)
        self._limited[replica.upstream] = replica
        if replica.limit_share is None:
            replica.limit_share = LimitShare(
                limit_per_s=limit_per_s, rate_per_s=rate_per_s, now_ms=now_ms
            )
        else:
            replica.limit_share.set_rate(limit_per_s, rate_per_s, now_ms=now_ms)
        logger.info(
            "event=limit_in_force upstream=%s service=%s limit_per_s=%.3f "
            "rate_per_s=%.3f senders=%d",
            replica.upstream,
            replica.service,
            limit_per_s,
            rate_per_s,
            len(rates),
        )


def _is_reported_change(known_per_s: float | None, limit_per_s: float | None) -> bool:
    if known_per_s is None or limit_per_s is None:
        return True
    return abs(limit_per_s - known_per_s) > _MIN_REPORTED_CHANGE * known_per_s


def _statement_of(replica: Replica, now_ms: float) -> UpstreamStatement:
    share = replica.limit_share
    return UpstreamStatement(
        upstream=replica.upstream,
        incarnation_ms=replica.incarnation_ms,
        limit_per_s=share.limit_per_s if share else None,
        is_leaving=replica.is_leaving_at(now_ms),
        has_ended=replica.ended_until_ms > now_ms,
    )
