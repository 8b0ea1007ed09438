"""Evaluation of the answers to a scenario's requests."""

from collections.abc import Iterable

from celerytrack.entry.admission import request_id_for
from celerytrack.load.caller import Outcome, Result
from tests.fleet import Fleet, get_json


def not_done(results: Iterable[Result]) -> str:
    """The outcome of each request that was not done, with its id in the logs."""
    return "; ".join(
        f"{r.key} {request_id_for(r.account, r.key)} {r.outcome} {r.reason} {r.verdict}"
        for r in results
        if r.outcome != Outcome.DONE
    )


def refused_but_ran(fleet: Fleet, results: Iterable[Result]) -> float:
    """The number of requests that ran although all their attempts were answered with
    ``did_not_run``."""
    by_request: dict[str, set[str]] = {}
    for r in results:
        rid = request_id_for(r.account, r.key)
        by_request.setdefault(rid, set()).add(r.verdict)
    refused = {rid for rid, v in by_request.items() if v == {"did_not_run"}}
    ran: set[str] = set()
    for spec in fleet.fleet.replicas:
        if fleet.procs[spec.replica_id].poll() is None:
            for key in get_json(spec.address, "/_stats")["runs"]:
                ran.add(key.split(":")[-1])
    return float(len(refused & ran))
