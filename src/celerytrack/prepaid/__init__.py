"""Prepaid totals shared among entries, without I/O and without a vote.

Each entry owns one row in a keyed topic of the platform's log: the number of
tokens of each client account that it *claims*, cumulative over the day and
never below what it spent. Nobody else writes the row. The rule that keeps
the total:

    An entry spends only up to an *allowance*. The allowance rises to the
    entry's claim when the entry, having folded the topic up to a place at or
    after its own row, sees the claims of all rows together fit the total.
    To lower a claim, an entry first lowers its allowance, then writes.

Why it holds: at the last place where an allowance rose, the rows summed to
at most the total, and every allowance was at most its row; after it,
allowances only fell. Nothing rests on clocks, on who is alive or on readers
agreeing: a reader that saw only the newest row of each key is as good as one
that saw them all, so the topic may lose its history at any time. Two entries
that claim the same free tokens at once both see a sum that does not fit, or
only the earlier one sees it fit; the other withdraws.

An entry that dies leaves its row: what it may have spent counts as spent. That
would lose all that entries hold for a cut whenever they are killed together,
so a row says how much may be spent by when: its *hand* at once, and more with
each second that the row grows old, at the entry's own pace, up to its claim.
The next start of the entry knows how old the row was when it began, by the
steady clock of the instance, and counts only what may have been spent by then.
An entry that is cut off goes on at its pace without a word to anybody.

Entries that are cut off from the log but reach each other move tokens by
gifts: the giver counts them as gone under its own row, the receiver may spend
them beyond its own. A gift that is lost on the way is spent by nobody.

The present time ``now_s`` (monotonic seconds) is an argument of each method
that decides.
"""

from celerytrack.prepaid.book import PrepaidBook
from celerytrack.prepaid.shares import Reservation, Row

__all__ = ["PrepaidBook", "Reservation", "Row"]
