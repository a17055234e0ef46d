"""Contents and timing of replies to polls."""

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

__all__ = ["PollReplyBuilder"]


class PollReplyBuilder:
    """Decides when a poll is answered and builds the reply."""

    def __init__(self, core: CoordinatorCore, in_force_tracker: InForceTracker) -> None:
        self._core = core
        self._in_force = in_force_tracker

    def has_changes(self, session: Session, request: PollRequest) -> bool:
        """Return whether there are changes, so that a poll is answered at once."""
        held_grants = dict(request.owned)
        owned = {
            item.upstream: item.grant_id
            for item in session.grants.values()
            if not item.revoking
        }
        return (
            request.configuration_version != self._core.configuration.version
            or self._must_send_registry(request)
            or any(held_grants.get(name) != grant for name, grant in owned.items())
            or session.sent_signature != self._reply_signature(session)
        )

    def build_reply(
        self, session: Session, request: PollRequest, arrival_ms: float, number: int
    ) -> PollReply:
        """Return the reply to a poll; record the lease and the state sent with it."""
        configuration = self._core.configuration
        version = configuration.version
        age_ms = self._core.confirmed_age_ms()
        if self._core.misses_replies(session):
            # With an age of a full lease the instance does not extend its lease.
            age_ms = max(age_ms, self._core.settings.lease_ms)
        else:
            session.lease_ends_ms = {
                lease_version: end
                for lease_version, end in session.lease_ends_ms.items()
                if end > arrival_ms
            }
            end_ms = self._core.lease_end_ms(arrival_ms)
            session.lease_ends_ms[version] = max(
                session.lease_ends_ms.get(version, 0.0), end_ms
            )
        if session.poll_number == number:
            session.sent_signature = self._reply_signature(session)
            if self._must_send_registry(request):
                session.sent_registry_version = self._core.registry_version()
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
            upstreams=self._registry_records()
            if self._must_send_registry(request)
            else None,
            instances=self._core.directory,
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
            in_force_version=self._in_force.find_in_force_version(),
        )

    def build_directory(self, now_ms: float) -> tuple[InstanceInfo, ...]:
        """Return the directory; empty while instances may not have polled yet."""
        if (
            now_ms
            < self._core.leadership.led_since_ms
            + self._core.settings.directory_delay_ms
        ):
            return ()
        listed_sessions = filter(self._core.is_listed, self._core.sessions.values())
        return tuple(
            sorted(
                (item.info for item in listed_sessions), key=lambda info: info.instance
            )
        )

    def _reply_signature(self, session: Session) -> object:
        return (
            self._core.directory,
            frozenset(
                item.upstream for item in session.grants.values() if item.revoking
            ),
            self._core.configuration.quarantined,
            tuple(self._core.configuration.suspects.items()),
        )

    def _must_send_registry(self, request: PollRequest) -> bool:
        version = request.registry_version
        if version == self._core.registry_version():
            return False
        # During the takeover wait the registry is incomplete and must not replace the
        # registry of the former leader.
        return (
            version == 0
            or version >> TERM_SHIFT == self._core.term
            or self._core.clock.monotonic_ms() >= self._core.takeover_ends_ms()
        )

    def _registry_records(self) -> tuple[UpstreamRecord, ...]:
        if self._core.registry_records is None:
            self._core.registry_records = tuple(
                UpstreamRecord(
                    entry.announcement,
                    entry.grant.session.info.instance if entry.grant else None,
                )
                for entry in self._core.entries.values()
                if entry.announcement is not None and not entry.is_expired
            )
        return self._core.registry_records
