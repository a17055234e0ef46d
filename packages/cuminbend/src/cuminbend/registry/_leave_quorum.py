"""Decides when the leave of an upstream may be acknowledged.

An upstream may leave with a single call and send nothing after its acknowledgement.
Registrations are kept in memory, so the acknowledgement waits until a majority has
recorded the leave. The loss of a minority then does not bring the upstream back into
use. The control log keeps the leave as well; see :mod:`cuminbend.registry._leaves`.
"""

from collections.abc import Collection

from cuminbend.registry._registrations import Registration


class LeaveQuorum:
    """Counts the control instances that have recorded one leave.

    Args:
        voters: Voters of the control group; a majority of them has to record the leave.
        receiver: Control instance that the upstream called.
        registration: Registration of the upstream at the receiver, None if the receiver
            does not know the upstream, as after a restart.

    Attributes:
        registration: Registration of the upstream, from the first instance that knows
            it; None as long as none does.
    """

    def __init__(
        self,
        *,
        voters: Collection[str],
        receiver: str,
        registration: Registration | None,
    ) -> None:
        self._voters = frozenset(voters)
        self._receiver = receiver
        self._recorded_by = set() if registration is None else {receiver}
        self.registration = registration

    @property
    def missing_count(self) -> int:
        """Number of voters that still have to record the leave, at least 0."""
        needed = len(self._voters) // 2 + 1
        return max(0, needed - len(self._recorded_by & self._voters))

    @property
    def is_complete(self) -> bool:
        """Whether a majority has recorded the leave of a known upstream."""
        return self.registration is not None and not self.missing_count

    def record_reply(self, instance: str, registration: Registration | None) -> None:
        """Record the reply of another control instance.

        The receiver records the leave as well once it learns of the upstream.

        Args:
            instance: The instance that replied.
            registration: What it has recorded, None if it does not know the upstream.
        """
        if registration is None:
            return
        self._recorded_by |= {instance, self._receiver}
        if self.registration is None:
            self.registration = registration
