"""What silences of a peer a connection outlives."""

import unittest

from celerytrack.http_session import (
    ACK_TIMEOUT_MS,
    KEEPALIVE_IDLE_S,
    KEEPALIVE_INTERVAL_S,
)

TOLERATED_SILENCE_S = 1.3
"""A sound peer may say nothing for a second or so."""
STEP_S = 0.05
FIRST_RETRANSMIT_S = 0.2


def _is_idle_connection_lost(silent_from_s: float, silent_until_s: float) -> bool:
    """Whether Linux gives up an idle connection whose peer is silent for a time.

    Times count from the peer's last sign. A probe is answered unless the peer is
    silent; with a TCP_USER_TIMEOUT the connection is lost when a probe is due later
    than that after the last sign, and one was not answered.
    """
    due_s = float(KEEPALIVE_IDLE_S)
    unanswered = False
    while due_s < silent_until_s:
        if unanswered and due_s >= ACK_TIMEOUT_MS / 1_000:
            return True
        if due_s < silent_from_s:
            return False
        unanswered = True
        due_s += KEEPALIVE_INTERVAL_S
    return False


def _is_request_lost(silence_s: float) -> bool:
    """Whether a request whose bytes meet a silence is given up: it is sent again after
    twice the time each time."""
    sent_s, pause_s = 0.0, FIRST_RETRANSMIT_S
    while sent_s < silence_s:
        sent_s += pause_s
        pause_s *= 2
    return sent_s > ACK_TIMEOUT_MS / 1_000


class SilenceTest(unittest.TestCase):
    def test_an_idle_stream_outlives_a_silence_of_a_second(self) -> None:
        """The time limit for acknowledgements decides when keep-alive probes give up:
        streams of sound endpoints broke after one unanswered probe."""
        steps = range(int(3 / STEP_S))
        for silent_from_s in (step * STEP_S for step in steps):
            until_s = silent_from_s + TOLERATED_SILENCE_S
            lost = _is_idle_connection_lost(silent_from_s, until_s)
            self.assertFalse(lost, silent_from_s)

    def test_a_request_outlives_a_silence_of_a_second(self) -> None:
        """A request that a sound endpoint acknowledged late was given up."""
        self.assertFalse(_is_request_lost(TOLERATED_SILENCE_S))
