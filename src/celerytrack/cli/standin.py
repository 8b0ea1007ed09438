"""``celerytrack-standin``: run a stand-in of the platform or of a replica."""

from collections.abc import Callable

from aiohttp import web
from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import argument, option

from celerytrack.cli._serve import run
from celerytrack.events import setup_logging
from celerytrack.settings import (
    BackendKind,
    FleetSettings,
    ReplicaSpec,
    SettingsError,
    load_json,
)
from celerytrack.standins import engine, instances, log, service, weights
from celerytrack.standins.crashes import MarkedCrash, serve_with_crashes

_ROLES = ("log", "instances", "weights", "replica")


class StandinCommand(Command):
    """Run one stand-in process."""

    name = "run"
    description = "Run one stand-in: log, instances, weights or replica."
    arguments = [argument("role", f"One of {', '.join(_ROLES)}.")]
    options = [
        option("settings", "s", "Fleet settings JSON.", flag=False),
        option("replica-id", "r", "For role replica: its id.", flag=False),
        option(
            "token-s", None, "Engine: seconds per token.", flag=False, default="0.004"
        ),
        option(
            "capacity",
            None,
            "Engine: maximum sequences in a batch.",
            flag=False,
            default="16",
        ),
        option(
            "cache-blocks",
            None,
            "Engine: prefix cache size in prompt blocks.",
            flag=False,
            default="4096",
        ),
        option(
            "prefill-s",
            None,
            "Engine: prefill seconds per prompt token.",
            flag=False,
            default="0.00005",
        ),
        option(
            "tokens-per-event",
            None,
            "Engine: tokens per stream event.",
            flag=False,
            default="1",
        ),
        option(
            "marker",
            None,
            "Replica: a request that contains this text crashes it.",
            flag=False,
            default="",
        ),
        option(
            "back-s",
            None,
            "Replica: seconds until it restarts after a crash.",
            flag=False,
            default="2.0",
        ),
    ]

    def handle(self) -> int:
        role = str(self.argument("role"))
        setup_logging(f"standin:{role}")
        try:
            fleet = load_json(str(self.option("settings")), FleetSettings)
        except SettingsError as exc:
            self.line_error(f"<error>settings: {exc}</error>")
            return 2
        marked = MarkedCrash()
        try:
            make_app, address = self._app(role, fleet, marked)
        except KeyError:
            self.line_error(
                f"<error>role {role!r}: must be one of {', '.join(_ROLES)}</error>"
            )
            return 2

        async def main() -> None:
            await serve_with_crashes(make_app, address, marked)

        run(main)
        return 0

    def _app(
        self, role: str, fleet: FleetSettings, marked: MarkedCrash
    ) -> tuple[Callable[[], web.Application], str]:
        """Return the application factory of ``role`` and the address to listen on.

        :raises KeyError: if there is no such role.
        """
        platform = fleet.platform
        match role:
            case "log":
                return log.make_app, platform.log_address
            case "instances":
                state = instances.InstancesState(instances.seed(fleet))
                return lambda: instances.make_app(state), platform.instances_address
            case "weights":
                store = weights.WeightsState()
                return lambda: weights.make_app(store), platform.weights_address
            case "replica":
                spec = fleet.replica(str(self.option("replica-id")))
                marked.marker = str(self.option("marker"))
                marked.restart_delay_s = float(self.option("back-s"))
                return lambda: self._replica(spec, marked), spec.address
        raise KeyError(role)

    def _replica(self, spec: ReplicaSpec, marked: MarkedCrash) -> web.Application:
        if spec.kind is not BackendKind.ENGINE:
            return service.make_app(
                service.ServiceState(spec.replica_id, marked=marked)
            )
        state = engine.EngineState(
            spec.replica_id,
            capacity=int(self.option("capacity")),
            token_s=float(self.option("token-s")),
            cache_blocks=int(self.option("cache-blocks")),
            prefill_s_per_token=float(self.option("prefill-s")),
            tokens_per_event=int(self.option("tokens-per-event")),
            ignores_fence=spec.ignores_fence,
            marked=marked,
        )
        return engine.make_app(state)


def main() -> int:
    """Console script entry point."""
    app = Application("celerytrack-standin", "0.1.0")
    app.add(StandinCommand())
    return app.run()
