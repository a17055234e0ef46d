"""Selection of the upstream for a submit."""

from collections.abc import Collection, Mapping

from cuminbend.messages import UpstreamRecord, UpstreamState
from cuminbend.submit._base import ClusterView

__all__ = ["choose_upstream"]


def choose_upstream(
    view: ClusterView,
    service: str,
    *,
    in_flight: Mapping[str, int],
    tried: Collection[str] = (),
) -> UpstreamRecord | None:
    """Return the upstream to send a submit to, or None if there is none.

    Candidates are ready, have an owner, are in a data centre in service and are not in
    ``tried``. They are ordered by the number of submits from this instance in flight,
    then the local data centre before others, then the name.
    """
    configuration = view.configuration
    if configuration is None:
        return None
    in_service = configuration.data_centres_in_service

    def rank(record: UpstreamRecord) -> tuple[int, bool, str]:
        upstream = record.announcement.upstream
        is_remote = record.announcement.data_centre != view.local_data_centre
        return (in_flight.get(upstream, 0), is_remote, upstream)

    candidates = (
        record
        for name, record in view.upstreams.items()
        if name not in tried
        and record.owner is not None
        and record.announcement.service == service
        and record.announcement.state is UpstreamState.READY
        and record.announcement.data_centre in in_service
    )
    return min(candidates, key=rank, default=None)
