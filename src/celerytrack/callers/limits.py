"""Limits of what callers hold of a process."""

import resource

import attrs
from attrs import validators as v

_MIB = 1_048_576
DEFAULT_MACHINE_BYTES = 300 * _MIB
"""Memory of an instance whose settings don't tell it."""
MEMORY_SHARE = 0.25
"""Share of the instance's memory that callers may hold. The process itself takes up to
a third, and the allocator keeps about as much again of what callers held."""
UNLIMITED_DESCRIPTORS = 1_048_576
"""Descriptors of a process that the operating system doesn't limit."""
OWN_DESCRIPTORS = 64
"""Descriptors by which a process runs and reaches the log, other entries and endpoints
that it probes."""
MIN_CONNECTIONS = 4
"""Fewest connections that a listening address takes."""


def memory_budget_bytes(machine_bytes: float) -> int:
    """Bytes that callers may hold on an instance with so much memory."""
    return int(machine_bytes * MEMORY_SHARE)


@attrs.frozen
class CallerLimits:
    """What callers may hold of a process.

    :ivar memory_bytes: bytes of bodies, answers and heads of all callers together.
    :ivar descriptors: descriptors of the process, of which callers' connections take
        a share; 0 for as many as the operating system allows it.
    """

    memory_bytes: int = attrs.field(
        default=memory_budget_bytes(DEFAULT_MACHINE_BYTES), validator=v.gt(0)
    )
    descriptors: int = attrs.field(default=0, validator=v.ge(0))

    def connections(self, share: float) -> int:
        """Connections that a listening address takes, for its share of descriptors."""
        allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if allowed == resource.RLIM_INFINITY:
            allowed = UNLIMITED_DESCRIPTORS
        allowed = max(0, allowed - OWN_DESCRIPTORS)
        most = min(self.descriptors or allowed, allowed)
        return max(MIN_CONNECTIONS, int(share * most))


@attrs.frozen
class CallerTimes:
    """How long callers may take.

    :ivar head_s: from the first byte of a head to its end.
    :ivar idle_s: without a byte, while this process waits for the caller.
    """

    head_s: float = 3.0
    idle_s: float = 15.0
