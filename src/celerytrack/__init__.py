"""celerytrack: a router fleet for model engines and plain services with
prepaid token budgets.

The core, which does no I/O, is re-exported here; the processes are in
:mod:`celerytrack.entry`, :mod:`celerytrack.standins` and :mod:`celerytrack.cli`.
"""

from celerytrack._started import STARTED_S
from celerytrack.escrow import Escrow, GrantReservation, HeldGrant, budget_refusal
from celerytrack.ids import (
    AccountId,
    ClassName,
    EntryId,
    GrantId,
    ReplicaId,
    RequestId,
    Zone,
)
from celerytrack.ledger import AccountLedger, Bill, BillOutcome, Ledger, OpenGrant
from celerytrack.routing.rendezvous import rendezvous
from celerytrack.routing.replica_load import (
    Ask,
    Attempt,
    Load,
    PrefixIndex,
    ReplicaLoad,
)
from celerytrack.routing.replicas import (
    Placement,
    make_chooser,
    predict_first_token_s,
)
from celerytrack.routing.retries import RetryBudget, backoff_s, may_retry
from celerytrack.settings import Config, FleetSettings, SettingsError, load_json
from celerytrack.verdict import Reason, Refusal, Verdict, did_not_run, may_have_run

__all__ = [
    "AccountId",
    "AccountLedger",
    "Ask",
    "Attempt",
    "Bill",
    "BillOutcome",
    "ClassName",
    "Config",
    "EntryId",
    "Escrow",
    "FleetSettings",
    "GrantId",
    "GrantReservation",
    "HeldGrant",
    "Ledger",
    "Load",
    "OpenGrant",
    "Placement",
    "PrefixIndex",
    "Reason",
    "Refusal",
    "ReplicaId",
    "ReplicaLoad",
    "RequestId",
    "RetryBudget",
    "STARTED_S",
    "SettingsError",
    "Verdict",
    "Zone",
    "backoff_s",
    "budget_refusal",
    "did_not_run",
    "load_json",
    "make_chooser",
    "may_have_run",
    "may_retry",
    "predict_first_token_s",
    "rendezvous",
]
