"""The directory, which lists the addresses that callers should use."""

from typing import Any

from cuminbend.exceptions import UnavailableError
from cuminbend.messages import InstanceInfo
from cuminbend.ports import RandomSource
from cuminbend.sessions import SessionView

_NO_LEASE_RETRY_AFTER_MS = 1000
_MIN_RANDOM = 1e-12


def directory_document(
    view: SessionView,
    *,
    preferred_data_centre: str,
    max_age_ms: int,
    random: RandomSource,
) -> dict[str, Any]:
    """Return the instances in the order in which a caller should try them.

    Instances of the preferred data centre come first. Within a data centre the order
    is random in proportion to the weights, so that callers that use the first address
    spread over the instances without a load balancer.

    Raises:
        UnavailableError: If this instance does not know the current directory.
    """
    if not view.lease.is_valid():
        raise UnavailableError(
            "this instance has lost contact with the control quorum; ask another "
            "instance for the directory",
            retry_after_ms=_NO_LEASE_RETRY_AFTER_MS,
        )
    ordered = sorted(
        view.instances,
        key=lambda info: (
            info.data_centre != preferred_data_centre,
            _draw_sort_key(info, random),
        ),
    )
    return {
        "max_age_ms": max_age_ms,
        "configuration_version": view.configuration_version,
        "instances": [
            {
                "instance": info.instance,
                "data_centre": info.data_centre,
                "address": info.caller_address,
                "weight": info.weight,
            }
            for info in ordered
        ],
    }


def _draw_sort_key(info: InstanceInfo, random: RandomSource) -> float:
    # Exponential keys give a weighted random order (Efraimidis and Spirakis,
    # "Weighted random sampling with a reservoir", 2006).
    return float(-(max(random.random(), _MIN_RANDOM) ** (1.0 / info.weight)))
