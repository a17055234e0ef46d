"""State dump of the session coordinator."""

from dataclasses import asdict
from typing import Any

from cuminbend.sessions._core import CoordinatorCore
from cuminbend.sessions._tables import UpstreamEntry

__all__ = ["dump_state"]


def dump_state(core: CoordinatorCore) -> dict[str, Any]:
    """Return the state of sessions and upstreams for a state dump."""
    now_ms = core.clock.monotonic_ms()
    return {
        "term": core.term,
        "leading": core.leadership.is_leader,
        "takeover_wait_ms": max(0.0, core.takeover_ends_ms() - now_ms),
        "registry_version": core.registry_version(),
        "sessions": [
            {
                "instance": asdict(item.info),
                "boot_id": item.boot_id,
                "lease_left_ms": item.expires_at_ms - now_ms,
                "configuration_version": item.acknowledged_version,
                "superseded": item.superseded,
                "owned": sorted(item.grants),
            }
            for item in core.sessions.values()
        ],
        "upstreams": [_dump_entry(item, now_ms) for item in core.entries.values()],
    }


def _dump_entry(entry: UpstreamEntry, now_ms: float) -> dict[str, Any]:
    grant = entry.grant
    return {
        "upstream": entry.upstream,
        "state": str(entry.announcement.state) if entry.announcement else None,
        "gone": entry.is_expired,
        "ttl_left_ms": entry.expires_at_ms - now_ms,
        "owner": grant.session.info.instance if grant else None,
        "grant_id": grant.grant_id if grant else None,
        "revoking": grant.revoking if grant else False,
        "former_connections": [
            {"connections": item.connections, "left_ms": item.until_ms - now_ms}
            for item in entry.former_connections
        ],
    }
