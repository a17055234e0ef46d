"""Replies to polls: registry, directory, grants and quarantine."""

from cuminbend.messages import (
    InstanceInfo,
    OwnedUpstream,
    PollReply,
    PollRequest,
    UpstreamRecord,
)
from cuminbend.sessions._core import TERM_SHIFT, CoordinatorCore
from cuminbend.sessions._in_force import InForceTracker
from cuminbend.sessions._tables import Session

__all__ = ["PollReplies"]


class PollReplies:
    """Decides when a poll is answered and with what."""

    def __init__(self, core: CoordinatorCore, in_force: InForceTracker) -> None:
        self._core = core
        self._in_force = in_force

    def has_news(self, session: Session, request: PollRequest) -> bool:
        """Return whether a poll should be answered at once."""
        held = dict(request.owned)
        owned = {
            item.upstream: item.grant_id
            for item in session.grants.values()
            if not item.revoking
        }
        return (
            request.configuration_version != self._core.configuration.version
            or self._sends_registry(request)
            or any(held.get(name) != grant for name, grant in owned.items())
            or session.told != self._signature(session)
        )

    def build_reply(
        self, session: Session, request: PollRequest, arrival_ms: float, number: int
    ) -> PollReply:
        """Return the reply to a poll and take note of what it gives."""
        configuration = self._core.configuration
        version = configuration.version
        age_ms = self._core.confirmed_age_ms()
        if self._core.is_deaf(session):
            # An age of a whole lease extends no lease.
            age_ms = max(age_ms, self._core.settings.lease_ms)
        else:
            session.leases = {
                named: end for named, end in session.leases.items() if end > arrival_ms
            }
            end_ms = self._core.lease_end_ms(arrival_ms)
            session.leases[version] = max(session.leases.get(version, 0.0), end_ms)
        if session.poll_number == number:
            session.told = self._signature(session)
            if self._sends_registry(request):
                session.sent_version = self._core.registry_version()
        grants = session.grants.values()
        return PollReply(
            leader=self._core.leadership.leader or "",
            term=self._core.term,
            confirmed_age_ms=age_ms,
            configuration_version=version,
            configuration_text=(
                configuration.text if request.configuration_version < version else None
            ),
            registry_version=self._core.registry_version(),
            upstreams=self._registry() if self._sends_registry(request) else None,
            instances=self._core.listed,
            owned=tuple(
                OwnedUpstream(
                    item.upstream,
                    item.grant_id,
                    item.connection_cap or 1,
                    item.handover,
                )
                for item in grants
                if not item.revoking
            ),
            revoked=tuple(item.upstream for item in grants if item.revoking),
            quarantined=tuple(sorted(configuration.quarantined)),
            suspects=tuple(sorted(configuration.suspects.items())),
            in_force_version=self._in_force.known_version(),
        )

    def directory(self, now_ms: float) -> tuple[InstanceInfo, ...]:
        """Return the directory; none while instances may not have polled yet."""
        if now_ms < self._core.leadership.led_since_ms + self._core.settings.settle_ms:
            return ()
        listed = filter(self._core.is_listed, self._core.sessions.values())
        return tuple(
            sorted((item.info for item in listed), key=lambda info: info.instance)
        )

    def _signature(self, session: Session) -> object:
        return (
            self._core.listed,
            frozenset(
                item.upstream for item in session.grants.values() if item.revoking
            ),
            self._core.configuration.quarantined,
            tuple(self._core.configuration.suspects.items()),
        )

    def _sends_registry(self, request: PollRequest) -> bool:
        version = request.registry_version
        if version == self._core.registry_version():
            return False
        # A registry that is not rebuilt yet must not replace that of the last leader.
        return (
            version == 0
            or version >> TERM_SHIFT == self._core.term
            or self._core.clock.monotonic_ms() >= self._core.takeover_ends_ms()
        )

    def _registry(self) -> tuple[UpstreamRecord, ...]:
        if self._core.records is None:
            self._core.records = tuple(
                UpstreamRecord(
                    entry.announcement,
                    entry.grant.session.info.instance if entry.grant else None,
                )
                for entry in self._core.entries.values()
                if entry.announcement is not None and not entry.gone
            )
        return self._core.records
