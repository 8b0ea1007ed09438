"""The times of a planned stop and the requests that it still takes, without I/O.

A process that is told to stop has a grace time, after which it is killed whatever it is
in the middle of. Each part of a stop therefore ends at a time counted from the signal,
and a request is taken only if it ends before the answers must.
"""

import attrs

SETTLE_SHARE = 0.15
"""Part of the grace time that is kept for its end: the answers' last bytes, the last
row and the exit."""
SETTLE_MOST_S = 0.8
CLOSING_SHARE = 0.6
"""Part of that end in which listeners and connections close and the process exits."""
SERVES_SHARE = 0.45
"""Part of the grace time for which callers are expected to come."""
SERVES_MOST_S = 3.5
"""Address answers lapse after a second, or three for callers that keep them longer."""
STREAM_TAKEN_S = 3.0
"""How long after the signal a stream is taken that will likely end in time, but may
not."""
HEARD_LATE_S = 0.2
"""How long after it was sent a signal may be heard: an instance that has used up its
share of a processor stands still for a tenth of a second."""


@attrs.frozen
class Lasting:
    """How long a request may be in progress.

    :ivar most_s: until its deadline.
    :ivar likely_s: what nearly all of its kind ended within lately.
    :ivar stream: a begun answer can't be replaced by a failure any more.
    """

    most_s: float
    likely_s: float
    stream: bool


@attrs.frozen
class PlannedStop:
    """One planned stop.

    :ivar began_s: when its signal was heard.
    :ivar grace_s: how long after it the process is killed.
    """

    began_s: float
    grace_s: float

    @property
    def serves_until_s(self) -> float:
        """Until when the process stays, though nothing is in progress."""
        return self.began_s + min(SERVES_MOST_S, SERVES_SHARE * self.grace_s)

    @property
    def answers_end_s(self) -> float:
        """When each request in progress gets its final answer."""
        return self.began_s + self.grace_s - self._settle_s

    @property
    def closes_s(self) -> float:
        """When the listeners and the connections close at the latest."""
        return self.answers_end_s + (1 - CLOSING_SHARE) * self._settle_s

    @property
    def closing_s(self) -> float:
        """How long they may take to close; the exit needs as much again."""
        return CLOSING_SHARE * self._settle_s / 2

    @property
    def _settle_s(self) -> float:
        return min(SETTLE_MOST_S, SETTLE_SHARE * self.grace_s)

    def takes(self, lasting: Lasting, now_s: float) -> bool:
        """Whether a request that has come now can be served to its end."""
        left_s = self.answers_end_s - now_s
        if lasting.most_s <= left_s:
            return True
        if lasting.stream and now_s - self.began_s > STREAM_TAKEN_S - HEARD_LATE_S:
            return False
        return lasting.likely_s <= left_s
