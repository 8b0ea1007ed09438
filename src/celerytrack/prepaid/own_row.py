"""This entry's own row: the one on the log and the one in flight.

The next incarnation of the entry finds either of the two, so spending must fit both.
"""

from collections.abc import Mapping

from celerytrack.ids import AccountId
from celerytrack.prepaid.rows import FoldedRows
from celerytrack.prepaid.shares import AccountClaim


class OwnRow:
    """What this entry's rows allow it to spend.

    :param rows: all folded rows, including this entry's.
    """

    def __init__(self, rows: FoldedRows) -> None:
        self._rows = rows
        self._in_flight: Mapping[AccountId, AccountClaim] | None = None
        self._made_s = float("inf")
        # No row of this incarnation is on the log until its first one is folded.
        self._published_made_s = float("inf")

    @property
    def is_in_flight(self) -> bool:
        """Whether a row was made and is not folded yet."""
        return self._in_flight is not None

    def published(self, account: AccountId) -> AccountClaim:
        """The claim on ``account`` in the row on the log."""
        return self._rows.own_row().get(account, AccountClaim())

    def mark_sent(self, row: Mapping[AccountId, AccountClaim], now_s: float) -> None:
        """Record that ``row`` was made at ``now_s`` and is in flight from now on."""
        self._in_flight = row
        self._made_s = now_s

    def mark_folded(self) -> None:
        """Record that the row in flight is on the log and was folded."""
        self._in_flight = None
        self._published_made_s = self._made_s

    def claimed_tokens(self, account: AccountId) -> int:
        """The lower claim of the two rows.

        With the folded row alone, the allowance could rise to its claim while a
        lower row is in flight, and exceed that one when it lands.
        """
        claimed = self.published(account).claimed_tokens
        in_flight = self._in_flight_claim(account)
        return claimed if in_flight is None else min(claimed, in_flight.claimed_tokens)

    def limit_tokens(self, account: AccountId, now_s: float) -> int:
        """The lower limit of the two rows at ``now_s``."""
        age_s = max(0.0, now_s - self._published_made_s)
        limit = self.published(account).limit_tokens(age_s)
        in_flight = self._in_flight_claim(account)
        if in_flight is None:
            return limit
        return min(limit, in_flight.limit_tokens(now_s - self._made_s))

    def free_in_s(self, account: AccountId, tokens: int, now_s: float) -> float | None:
        """Seconds until the newest row allows ``tokens``; ``None`` if never."""
        in_flight = self._in_flight_claim(account)
        if in_flight is not None:
            return in_flight.free_in_s(tokens, now_s - self._made_s)
        age_s = max(0.0, now_s - self._published_made_s)
        return self.published(account).free_in_s(tokens, age_s)

    def _in_flight_claim(self, account: AccountId) -> AccountClaim | None:
        return None if self._in_flight is None else self._in_flight.get(account)
