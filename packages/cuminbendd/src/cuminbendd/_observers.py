"""Adapters between the library's components in one instance."""

from typing import Any

from cuminbend.accounts import MemberAccounts
from cuminbend.exceptions import RequestFailedError
from cuminbend.messages import WorkKind
from cuminbend.sessions import SessionView


class ConfiguredShares:
    """Looks up the weights of members in the configuration in force."""

    def __init__(self, *, view: SessionView) -> None:
        self._view = view

    def share(self, member: str) -> float:
        """Return the weight of a member, 1.0 if it is not configured."""
        configuration = self._view.configuration
        if configuration is None or member not in configuration.members_by_name:
            return 1.0
        return configuration.members_by_name[member].share


class MemberAccountsObserver:
    """Counts searches and their attempts in the accounts of their members."""

    def __init__(self, *, accounts: MemberAccounts) -> None:
        self._accounts = accounts

    def search_finished(
        self,
        *,
        member: str,
        service: str,
        outcome: str,
        latency_ms: float,
        deadline_ms: float,
        shards_total: int,
        shards_answered: int,
        error: RequestFailedError | None,
    ) -> None:
        """Count a search that ended, unless its caller cancelled it.

        A cancelled search has no error and no shards.
        """
        if error is not None:
            self._accounts.count_failure(member=member, service=service, error=error)
        elif shards_total:
            self._accounts.count_search(
                member=member,
                service=service,
                latency_ms=latency_ms,
                deadline_ms=deadline_ms,
                coverage=shards_answered / shards_total,
            )

    def attempt_finished(
        self,
        *,
        member: str,
        service: str,
        kind: WorkKind,
        outcome: str,
        latency_ms: float,
    ) -> None:
        """Count a request to an upstream."""
        self._accounts.count_attempt(member=member, service=service, kind=kind)


def dump_view(view: SessionView) -> dict[str, Any]:
    """Return the instance's view of the cluster for operators.

    ``since`` maps attributes of the view to the wall-clock time of their last change.
    """
    return {
        "lease_remaining_ms": view.lease.remaining_ms(),
        "leader": view.leader,
        "configuration_version": view.configuration_version,
        "in_force_version": view.in_force_version,
        "owned": sorted(view.owned),
        "upstreams": len(view.upstreams),
        "instances": [info.instance for info in view.instances],
        "quarantined": len(view.quarantined),
        "suspects": dict(view.suspects),
        "since": {name: at.isoformat() for name, at in view.changed_at.items()},
    }
