"""Deadlines of a planned stop and admission of requests during it, without I/O.

A process that gets the signal to stop has a grace period, after which it is killed in
any state. Each phase of a stop therefore has a deadline counted from the signal, and a
request is admitted only if it will end before the deadline of the answers.
"""

import attrs

SHUTDOWN_SHARE = 0.15
"""Share of the grace period that is reserved for the shutdown: to flush the answers,
write the last row and exit."""
MAX_SHUTDOWN_S = 0.8
CLOSING_SHARE = 0.6
"""Share of the shutdown in which listeners and connections close and the process
exits."""
ACCEPT_SHARE = 0.45
"""Share of the grace period in which callers may still arrive."""
MAX_ACCEPT_S = 3.5
"""Callers cache address answers for one second, some for three."""
UNCERTAIN_ADMISSION_S = 3.0
"""How long after the signal a stream, or a request that can't be repeated, is admitted
that will probably, but not certainly, end in time."""
MAX_SIGNAL_DELAY_S = 0.2
"""Longest delay of a signal: an instance that has used up its CPU quota is suspended
for a tenth of a second."""


@attrs.frozen
class Lasting:
    """Limit and estimate of the duration of a request.

    Its ``repr`` is part of the text of a refusal.

    :ivar most_s: time until its deadline.
    :ivar likely_s: duration within which nearly all recent requests of its kind ended.
    :ivar stream: whether the answer is a stream; once begun, it can't be replaced by an
        error answer.
    :ivar once: whether it can't be repeated: without an answer it stays in doubt.
    """

    most_s: float
    likely_s: float
    stream: bool
    once: bool = False


@attrs.frozen
class PlannedStop:
    """The deadlines of one planned stop.

    :ivar began_s: when the signal was received.
    :ivar grace_s: time from the signal until the process is killed.
    """

    began_s: float
    grace_s: float

    @property
    def accepts_until_s(self) -> float:
        """Until when the process stays up even if no request is in progress."""
        return self.began_s + min(MAX_ACCEPT_S, ACCEPT_SHARE * self.grace_s)

    @property
    def drain_deadline_s(self) -> float:
        """Deadline of the answers to all requests in progress."""
        return self.began_s + self.grace_s - self._shutdown_s

    @property
    def close_deadline_s(self) -> float:
        """Deadline after which listeners and connections are closed."""
        return self.drain_deadline_s + (1 - CLOSING_SHARE) * self._shutdown_s

    @property
    def close_timeout_s(self) -> float:
        """Longest time to close listeners and connections; the exit may take as long
        again."""
        return CLOSING_SHARE * self._shutdown_s / 2

    @property
    def _shutdown_s(self) -> float:
        return min(MAX_SHUTDOWN_S, SHUTDOWN_SHARE * self.grace_s)

    def can_admit(self, lasting: Lasting, now_s: float) -> bool:
        """Whether a request that arrives now can be served to its end."""
        left_s = self.drain_deadline_s - now_s
        if lasting.most_s <= left_s:
            return True
        is_late = now_s - self.began_s > UNCERTAIN_ADMISSION_S - MAX_SIGNAL_DELAY_S
        if is_late and (lasting.stream or lasting.once):
            return False
        return lasting.likely_s <= left_s
