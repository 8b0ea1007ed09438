"""Commands of ``celerytrackctl`` that read log lines from standard input."""

import sys

from cleo.commands.command import Command
from cleo.helpers import argument

from celerytrack import slo
from celerytrack.explain import parse, summary, timeline
from celerytrack.limits.history import limit_rows
from celerytrack.notices.history import notice_rows


class ExplainCommand(Command):
    """Show the timeline of one request across all processes."""

    name = "explain"
    description = "Read log lines; print those of one request as a timeline."
    arguments = [argument("request-id", "Request id.")]

    def handle(self) -> int:
        request_id = str(self.argument("request-id"))
        found = timeline(parse(sys.stdin), request_id)
        for line in found:
            self.line(line.render(), style=None)
        if not found:
            self.line_error(f"<error>no log line has request id {request_id}</error>")
            return 1
        return 0


class SummaryCommand(Command):
    """Count the outcomes, refusals and outages of a run."""

    name = "summary"
    description = "Read log lines; print outcomes, refusals and outages."

    def handle(self) -> int:
        for row in summary(parse(sys.stdin)):
            self.line(row)
        return 0


class LimitsCommand(Command):
    """Show the rate limits that endpoints named."""

    name = "limits"
    description = "Read log lines; print each endpoint's limits and who lacked leases."

    def handle(self) -> int:
        for row in limit_rows(parse(sys.stdin)):
            self.line(row, style=None)
        return 0


class NoticesCommand(Command):
    """Show which endpoints left or asked for backoffs."""

    name = "notices"
    description = "Read log lines; print which endpoints left or asked for backoffs."

    def handle(self) -> int:
        for row in notice_rows(parse(sys.stdin)):
            self.line(row, style=None)
        return 0


class SloCommand(Command):
    """Report the error budget burn of each class."""

    name = "slo"
    description = "Read log lines; print each class's error budget burn."

    def handle(self) -> int:
        for row in slo.table(slo.report(parse(sys.stdin))):
            self.line(row)
        return 0
