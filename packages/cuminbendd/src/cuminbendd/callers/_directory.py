"""The directory: which addresses callers should use."""

from typing import Any

from cuminbend.exceptions import UnavailableError
from cuminbend.messages import InstanceInfo
from cuminbend.ports import RandomSource
from cuminbend.sessions import SessionView


def directory_document(
    view: SessionView, *, near: str, max_age_ms: int, random: RandomSource
) -> dict[str, Any]:
    """Return the instances in the order in which a caller should try them.

    Instances of the caller's data centre stand first. Within a data centre the order
    is drawn at random in proportion to the weights, so that callers that use the first
    address spread over the instances without a load balancer.

    Raises:
        UnavailableError: If this instance does not know the current directory.
    """
    if not view.lease.is_valid():
        raise UnavailableError(
            "this instance has lost contact with the control quorum; ask another "
            "instance for the directory",
            retry_after_ms=1000,
        )
    ordered = sorted(
        view.instances,
        key=lambda item: (item.data_centre != near, _draw(item, random)),
    )
    return {
        "max_age_ms": max_age_ms,
        "configuration_version": view.configuration_version,
        "instances": [
            {
                "instance": item.instance,
                "data_centre": item.data_centre,
                "address": item.caller_address,
                "weight": item.weight,
            }
            for item in ordered
        ],
    }


def _draw(item: InstanceInfo, random: RandomSource) -> float:
    # Exponential keys give a weighted random order (Efraimidis and Spirakis,
    # "Weighted random sampling with a reservoir", 2006).
    return float(-(max(random.random(), 1e-12) ** (1.0 / item.weight)))
