"""Choice of the control instance whose feed an entry instance reads."""

import random
from collections.abc import Iterable, Sequence

from cuminbendd.feed import ControlInfo

# Control instances that are no longer listed and are still tried; more than any group
# has, and few enough to be tried within two seconds.
_MAX_FORMER_CONTROLS = 16


class KnownControls:
    """The control instances that an entry instance can read from.

    Those that are no longer listed are tried after all others. A sender that is cut off
    or has just started lists only itself, and the seeds of a process that has run for
    long may all have been replaced.

    Args:
        seeds: Channel addresses to start from; some may be wrong or unreachable.
        own_data_centre: Data centre of the entry instance.
    """

    def __init__(self, *, seeds: Sequence[str], own_data_centre: str) -> None:
        self._seeds = seeds
        self._own_data_centre = own_data_centre
        self._controls: dict[str, ControlInfo] = {}
        self._former_addresses: list[str] = []

    def set_known(self, controls: Iterable[ControlInfo], *, is_current: bool) -> None:
        """Set the control instances that are known beside the seeds.

        Args:
            controls: The control instances that a sender lists.
            is_current: Whether the sender is in touch with its group. One that is not
                knows of additional instances, but not which ones are gone.
        """
        listed = {control.address: control for control in controls}
        if not is_current:
            self._controls.update(listed)
            return
        former = [address for address in self._controls if address not in listed]
        self._controls = listed
        self._former_addresses = [
            address
            for address in (*former, *self._former_addresses)
            if address not in listed
        ][:_MAX_FORMER_CONTROLS]

    def candidates(self) -> list[str]:
        """Return addresses of control instances, those of the own data centre first."""
        known = list(self._controls.values())
        random.shuffle(known)
        known.sort(key=lambda control: control.data_centre != self._own_data_centre)
        addresses = [control.address for control in known]
        seeds = list(self._seeds)
        random.shuffle(seeds)
        addresses += [address for address in seeds if address not in self._controls]
        return addresses + [
            address for address in self._former_addresses if address not in seeds
        ]

    def find_preferred(self, address: str) -> str | None:
        """Return the address of a control instance of the own data centre.

        At the first start the feed may come from another data centre, because only the
        configured addresses are known then and few of them are in the own data centre.

        Args:
            address: Address of the control instance whose feed is read now.

        Returns:
            None if that instance is in the own data centre already, or if no known
            control instance is.
        """
        own_data_centre = self._own_data_centre
        current = self._controls.get(address)
        if current is not None and current.data_centre == own_data_centre:
            return None
        own_controls = [
            control
            for control in self._controls.values()
            if control.data_centre == own_data_centre
        ]
        return random.choice(own_controls).address if own_controls else None
