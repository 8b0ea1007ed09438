"""``celerytrack-load``: load generator for a running fleet.

Sends a deployment's request mix through its entries and prints latencies, outcomes and
the checker's audit.
"""

import asyncio
import json

import attrs
from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import option

from celerytrack.load.checker import audit
from celerytrack.load.mix import MIXES
from celerytrack.load.notices import (
    Said,
    check_brittle,
    check_limits,
    check_notices,
    say,
    set_versions,
)
from celerytrack.load.report import summarise, table
from celerytrack.load.runner import Plan, run_plan
from celerytrack.settings import Config, FleetSettings, SettingsError, load_json


class RunCommand(Command):
    """Run a bounded load against a running fleet."""

    name = "run"
    description = "Send a deployment's mix, up to --requests and for --seconds."
    options = [
        option("settings", "s", "Fleet settings JSON.", flag=False),
        option("config", "c", "Configuration JSON (for keys and targets).", flag=False),
        option("rate", "r", "Mean arrivals per second.", flag=False, default="50"),
        option("seconds", None, "Duration of arrivals.", flag=False, default="10"),
        option("requests", None, "Maximum arrivals.", flag=False, default="500"),
        option("seed", None, "Random seed.", flag=False, default="1"),
        option("repeat", None, "Marked requests per second.", flag=False, default="0"),
        option("marker", None, "Text of the marked requests.", flag=False, default=""),
        option("by-part", None, "Marker in a message before the last; none alike."),
        option("limit", None, "Rate limit that all replicas name.", flag=False),
        option("leaving", None, "Ids of replicas that say they leave.", flag=False),
        option("backoff", None, "Backoff that all replicas ask for.", flag=False),
        option("rejects", None, "Share of requests rejected.", flag=False, default="0"),
        option("brittle", None, "Rejections that all replicas bear.", flag=False),
        option("room", None, "Requests that plain services take.", flag=False),
        option("versions", None, "Software versions of engines, by turns.", flag=False),
        option("cuts", None, "Share of answers cut off.", flag=False, default="0"),
        option("json", None, "Print JSON."),
    ]

    def handle(self) -> int:
        try:
            fleet = load_json(str(self.option("settings")), FleetSettings)
            config = load_json(str(self.option("config")), Config)
        except SettingsError as exc:
            self.line_error(f"<error>settings: {exc}</error>")
            return 2
        plan = Plan(
            float(self.option("rate")),
            float(self.option("seconds")),
            int(self.option("requests")),
            int(self.option("seed")),
            float(self.option("repeat")),
            str(self.option("marker")),
            bool(self.option("by-part")),
        )
        keys = {a.account_id: a.key for a in config.accounts}
        entries = [e.address for e in fleet.entries]
        non_idempotent = {c.name for c in config.classes if not c.idempotent}

        said = self._said()
        leaving = frozenset(filter(None, str(self.option("leaving") or "").split(",")))

        versions = list(filter(None, str(self.option("versions") or "").split(",")))
        cut_share = float(self.option("cuts"))

        async def go() -> dict[str, object]:
            if versions or cut_share:
                await set_versions(fleet, versions, cut_share)
            if said != Said():
                await say(fleet, said)
            if leaving:
                await say(fleet, attrs.evolve(said, leaving=True), leaving)
            results = await run_plan(plan, MIXES[fleet.deployment], entries, keys)
            checks = await check_limits(fleet)
            notices = await check_notices(fleet)
            brittle = await check_brittle(fleet)
            if said != Said() or leaving:
                await say(fleet, Said())
            if versions or cut_share:
                await set_versions(fleet, [], 0.0)
            await asyncio.sleep(fleet.tuning.ledger_flush_s * 5)
            found = await audit(fleet, non_idempotent)
            targets = {c.name: c.ttft_target_s for c in config.classes}
            return summarise(results, found, targets, checks, notices, brittle)

        summary = asyncio.run(go())
        self.line(json.dumps(summary) if self.option("json") else table(summary))
        return 0

    def _said(self) -> Said:
        """What all replicas are to say of themselves."""
        limit, backoff = self.option("limit"), self.option("backoff")
        brittle, room = self.option("brittle"), self.option("room")
        return Said(
            limit_per_s=None if limit is None else float(limit),
            backoff_s=None if backoff is None else float(backoff),
            rejects_share=float(self.option("rejects")),
            bears_per_s=None if brittle is None else float(brittle),
            room=None if room is None else int(room),
        )


def main() -> int:
    """Console script entry point."""
    app = Application("celerytrack-load", "0.1.0")
    app.add(RunCommand())
    return app.run()
