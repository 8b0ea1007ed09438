"""celerytrack: a router fleet for model engines and plain services with
prepaid token budgets.

The I/O-free core is re-exported here; the processes live in
:mod:`celerytrack.entry`, :mod:`celerytrack.standins` and :mod:`celerytrack.cli`.
"""

from celerytrack.escrow import EscrowBook, HeldGrant, Reservation, budget_refusal
from celerytrack.ids import (
    AccountId,
    ClassName,
    EntryId,
    GrantId,
    ReplicaId,
    RequestId,
    Zone,
)
from celerytrack.ledger import AccountLedger, Ledger, OpenGrant
from celerytrack.routing import ReplicaLoad, choose_replica, rendezvous
from celerytrack.settings import Config, FleetSettings, SettingsError, load_json
from celerytrack.verdict import Reason, Refusal, Verdict, did_not_run, may_have_run

__all__ = [
    "AccountId",
    "AccountLedger",
    "ClassName",
    "Config",
    "EntryId",
    "EscrowBook",
    "FleetSettings",
    "GrantId",
    "HeldGrant",
    "Ledger",
    "OpenGrant",
    "Reason",
    "Refusal",
    "ReplicaId",
    "ReplicaLoad",
    "RequestId",
    "Reservation",
    "SettingsError",
    "Verdict",
    "Zone",
    "budget_refusal",
    "choose_replica",
    "did_not_run",
    "load_json",
    "may_have_run",
    "rendezvous",
]
