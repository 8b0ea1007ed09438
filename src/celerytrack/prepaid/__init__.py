"""Prepaid totals divided among entries without consensus; does no I/O.

Each entry owns one row in a keyed topic of the platform's log: the number of
tokens of each client account that it *claims*, cumulative over the day and
never below what it has spent. No other process writes the row. One rule keeps
the total:

    An entry spends only up to an *allowance*. The allowance rises to the
    entry's claim once the entry has folded the topic up to an offset at or
    after its own row and the claims of all rows together fit the total.
    To lower a claim, an entry first lowers its allowance, then writes.

Proof: at the last offset where an allowance rose, the rows summed to at most
the total, and every allowance was at most its row; after that, allowances only
fell. The rule depends neither on clocks, nor on membership, nor on readers that
agree. A reader that saw only the newest row of each key knows as much as one
that saw them all, so the topic may lose its history at any time. If two entries
claim the same free tokens concurrently, either both see a sum that does not
fit, or only the earlier one sees it fit; the other withdraws.

The row of an entry that dies stays: what the entry may have spent counts as
spent. If that were the whole claim, killing all entries together would lose
every token that they claim to bridge a network partition. So a row also limits
what may be spent by when: its *immediate* tokens at once, and more with each
second of the row's age, at the entry's own unlock rate, up to its claim. The
next incarnation of the entry knows the age of the row at its start from the
monotonic clock of the instance, and counts only what may have been spent by
then. A partitioned entry keeps unlocking tokens without coordination.

Entries that cannot reach the log but can reach each other transfer tokens: the
sender counts them as spent under its own row, the receiver may spend them
beyond its own. The tokens of a transfer that is lost on the way are spent by no
entry.

Each method that decides takes the present time ``now_s`` (monotonic seconds) as
an argument.
"""

from celerytrack.prepaid.budgets import PrepaidBudgets
from celerytrack.prepaid.shares import AccountClaim, Reservation

__all__ = ["AccountClaim", "PrepaidBudgets", "Reservation"]
