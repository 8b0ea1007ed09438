"""What connections to an endpoint say of whether its process has ended.

A connection that was open before a sign of an end, and still is, shows that the process
lives. A new one doesn't: another process may have the address by then.
"""

import enum


class Witness(enum.Enum):
    """What the connections of one or several entries say."""

    KEPT = "kept"
    """One that was open before is open: the process lives."""
    ENDED = "ended"
    """The endpoint ended some at that time."""
    NONE = "none"
    """There were none."""
    ALONE = "alone"
    """There were none, and there is no other entry that could have one."""
