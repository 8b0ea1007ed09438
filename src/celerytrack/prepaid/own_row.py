"""This entry's own row: the one on the log, and the one on its way there.

A next start of the entry finds one of the two, whichever: what may be spent must
fit both.
"""

from collections.abc import Mapping

from celerytrack.ids import AccountId
from celerytrack.prepaid.rows import FoldedRows
from celerytrack.prepaid.shares import Row


class OwnRow:
    """What this entry's rows allow it to spend.

    :param rows: all rows as folded, this entry's among them.
    """

    def __init__(self, rows: FoldedRows) -> None:
        self._rows = rows
        self._in_flight: Mapping[AccountId, Row] | None = None
        self._made_s = float("inf")
        # No row of this start is on the log before its first was folded.
        self._published_made_s = float("inf")

    @property
    def on_its_way(self) -> bool:
        """Whether a row was sent that was not folded yet."""
        return self._in_flight is not None

    def published(self, account: AccountId) -> Row:
        """What the row on the log says of ``account``."""
        return self._rows.mine().get(account, Row())

    def sent(self, row: Mapping[AccountId, Row], now_s: float) -> None:
        """``row`` was made now and goes to the log."""
        self._in_flight = row
        self._made_s = now_s

    def folded(self) -> None:
        """The row that was sent is on the log and was folded."""
        self._in_flight = None
        self._published_made_s = self._made_s

    def claimed_tokens(self, account: AccountId) -> int:
        """What both rows claim at least.

        A lower row on its way to the log would otherwise land under an
        allowance raised to the row before it.
        """
        claimed = self.published(account).claimed_tokens
        coming = self._coming(account)
        return claimed if coming is None else min(claimed, coming.claimed_tokens)

    def limit_tokens(self, account: AccountId, now_s: float) -> int:
        """What both rows allow to be spent at ``now_s``."""
        age_s = max(0.0, now_s - self._published_made_s)
        limit = self.published(account).limit_tokens(age_s)
        coming = self._coming(account)
        if coming is None:
            return limit
        return min(limit, coming.limit_tokens(now_s - self._made_s))

    def free_in_s(self, account: AccountId, tokens: int, now_s: float) -> float | None:
        """How long until the newest row allows ``tokens``; ``None`` if never."""
        coming = self._coming(account)
        if coming is not None:
            return coming.free_in_s(tokens, now_s - self._made_s)
        age_s = max(0.0, now_s - self._published_made_s)
        return self.published(account).free_in_s(tokens, age_s)

    def _coming(self, account: AccountId) -> Row | None:
        return None if self._in_flight is None else self._in_flight.get(account)
