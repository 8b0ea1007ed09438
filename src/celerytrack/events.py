"""Numbered log events and the JSON log setup.

Every log line carries the number of an :class:`Event`; ``docs/EVENTS.md``
explains each of them. Lines are JSON objects that python-json-logger writes
through the standard ``logging`` module.
"""

import enum
import logging
import sys
from typing import Any

from pythonjsonlogger.json import JsonFormatter


class Event(enum.IntEnum):
    """The events that processes log; the value is the event number."""

    PROCESS_STARTED = 100
    PROCESS_STOPPING = 101
    PROCESS_STOPPED = 102
    SETTINGS_REJECTED = 103
    STOP_STAGE = 104
    STOP_OVERRAN = 105
    CONFIG_APPLIED = 200
    CONFIG_IGNORED_STALE = 201
    CONFIG_SNAPSHOT_WRITTEN = 202
    GRANT_TAKEN = 300
    GRANT_REFUSED = 301
    GRANT_SETTLED = 302
    LEDGER_UNREACHABLE = 303
    LEDGER_GAP = 304
    GRANT_RECLAIMED = 305
    GRANT_GIVEN_BACK = 306
    LEDGER_SNAPSHOT_WRITTEN = 307
    BILLS_FLUSHED = 310
    BILLS_FLUSH_FAILED = 311
    BILL_NOT_CHARGED = 312
    REQUEST_REFUSED = 400
    REQUEST_DONE = 401
    REQUEST_CUT = 402
    REQUEST_REPLAYED = 403
    INTENT_RECORDED = 404
    REQUEST_GIVEN_UP = 405
    REPLICA_LEAVING = 500
    REPLICA_JOINED = 501
    ENTRY_DRAINING = 502
    ORDER_DROPPED_STALE = 503
    PEER_NEWS_BAD = 504
    STORE_LOST = 600
    STORE_REGAINED = 601
    SHARES_TAKEN_OVER = 602
    ROW_NOT_WRITTEN = 603
    ROW_REJECTED = 604
    CONFIG_REJECTED = 605
    SHARES = 610
    GIFT_GIVEN = 611
    GIFT_FAILED = 612
    SHARES_FREED = 613
    ENDPOINT_REGISTERED = 606
    ENDPOINT_DRAINING = 607
    ENDPOINT_GONE = 608
    ENDPOINT_STARTED_AGAIN = 616
    ENDPOINT_STALE = 617
    REGISTRATION_REJECTED = 618
    RECORD_FAILED = 626
    TOPIC_SKIPPED = 619
    SETTINGS_RELOADED = 609
    ANSWERED = 700
    REFUSED = 701
    FAILED = 702
    ATTEMPT_FAILED = 703
    CALLER_LEFT = 704
    STREAM_CUT = 705
    TAKEN_LEAVING = 706
    STREAM_DISORDERED = 707
    ANSWER_UNIDENTIFIED = 708
    ANSWER_NOT_OWN = 712
    ANSWER_DISORDERED = 713
    REQUEST_FAULTED = 720
    NOTE_REJECTED = 614
    NOTE_FAILED = 615
    PEER_LEAVING = 620
    ENDPOINT_ENDED = 621
    SUSPECT_SHUT_OUT = 622
    SUSPECT_TRIED = 623
    SUSPECT_CLEARED = 624
    SUSPECTS_NOT_WRITTEN = 625
    ERA_CHANGED = 630
    ERA_UNREADABLE = 631
    ERA_TOPIC_READ = 632
    ERA_CLAIMS_HELD = 633
    LIMIT_BEGAN = 640
    LIMIT_CHANGED = 641
    LIMIT_ENDED = 642
    LIMIT_UNREADABLE = 643
    OWNER_ISOLATED = 644
    ROOM_LEARNED = 645
    LEAVING_HEARD = 650
    BACKOFF_ASKED = 651
    BACKOFF_ENDED = 652
    NOTICE_UNREADABLE = 653
    LINKS_IN_DOUBT = 660
    LINKS_UP = 661
    LINKS_DOWN = 662
    PEER_LINKS = 663
    RELAYED = 664
    RELAY_SERVED = 665
    CRASH_UNCONFIRMED = 666
    STREAM_RESUMED = 670
    STREAM_TAKEN_UP = 671
    STREAM_ORIGIN = 672
    ENDPOINT_IN_DOUBT = 673
    VERSION_REJECTED = 674
    VERSIONS_LOADED = 675
    VERSION_RECORDED = 676
    VERSION_NOT_RECORDED = 677
    VERSION_ESTABLISHED = 678
    STREAMS_TAKEN_OVER = 679
    CALLERS_TURNED_AWAY = 690
    LINES_DROPPED = 800
    STANDIN_FAULT_SET = 900


def log_event(
    logger: logging.Logger, event: Event, level: int = logging.INFO, **fields: Any
) -> None:
    """Log one event with its number, name and fields."""
    logger.log(level, event.name.lower(), extra={"event": int(event), **fields})


def setup_logging(process: str, level: str = "INFO") -> None:
    """Write JSON log lines, tagged with ``process``, to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        JsonFormatter(
            "%(asctime)s %(levelname)s %(name)s %(message)s",
            static_fields={"process": process},
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    logging.getLogger("aiohttp.access").setLevel(logging.WARNING)
