"""Validation and comparison of announcements."""

from dataclasses import replace

from cuminbend.exceptions import InvalidRequestError
from cuminbend.messages import Announcement, UpstreamState

__all__ = ["check_announcement", "is_significant_change", "is_superseded"]


def check_announcement(new: Announcement, known: Announcement | None) -> None:
    """Check an announcement against an earlier one of the same upstream.

    Raises:
        InvalidRequestError: If the incarnation is older, or if the service, address or
            data centre changed within an incarnation.
    """
    if known is None or new.incarnation > known.incarnation:
        return
    if new.incarnation < known.incarnation:
        raise InvalidRequestError(
            f"upstream {new.upstream!r} announces incarnation {new.incarnation}, but "
            f"{known.incarnation} is known; stop the older process, or start this one "
            f"with an incarnation above {known.incarnation}"
        )
    for name in ("service", "address", "data_centre"):
        old_value, new_value = getattr(known, name), getattr(new, name)
        if old_value != new_value:
            raise InvalidRequestError(
                f"upstream {new.upstream!r} announces {name} {new_value!r}, but "
                f"incarnation {new.incarnation} was announced with {old_value!r}; give "
                "each process its own upstream name, or raise the incarnation with "
                "each restart"
            )


def is_superseded(new: Announcement, known: Announcement | None) -> bool:
    """Return whether ``known`` makes ``new`` obsolete.

    An upstream that is leaving stays in that state for its incarnation, because an
    older announcement may arrive later through another instance.
    """
    if known is None or new.incarnation > known.incarnation:
        return False
    return new.incarnation < known.incarnation or (
        known.state is UpstreamState.LEAVING and new.state is not UpstreamState.LEAVING
    )


def is_significant_change(
    new: Announcement, known: Announcement | None, min_load_change: float
) -> bool:
    """Return whether ``new`` must be distributed to other instances.

    Small changes of the load are not distributed, because each version of the registry
    is sent to every instance.
    """
    if known is None or abs(new.load - known.load) >= min_load_change:
        return True
    return replace(new, load=known.load) != known
