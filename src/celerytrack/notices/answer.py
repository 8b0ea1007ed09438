"""What the head of one answer says of the endpoint that made it."""

import enum

import attrs


class NoticeKind(enum.Enum):
    """What an endpoint may say of itself."""

    LIMIT = "limit"
    """The requests a second that it takes from all entries together."""
    BRITTLE = "brittle"
    """The rejections a second after which it falls over."""
    LEAVING = "leaving"
    """It takes no new requests any more, and will end."""
    BACKOFF = "backoff"
    """It wants no requests from this entry for some time."""


@attrs.frozen
class UnreadableNotice:
    """A value that cannot be decoded."""

    kind: NoticeKind
    detail: str


@attrs.frozen
class AnswerNotices:
    """What the head of an answer says of its endpoint.

    :ivar limit_per_s: the rate limit that it names; ``None`` if it names none.
    :ivar bears_per_s: the rejections a second that it bears; ``None`` if it does not
        say that it is brittle.
    :ivar leaving: whether it says that it leaves.
    :ivar backoff_s: for how long it wants no requests; ``None`` if it does not say.
    :ivar unreadable: what it says besides.
    """

    limit_per_s: float | None = None
    leaving: bool = False
    backoff_s: float | None = None
    unreadable: tuple[UnreadableNotice, ...] = ()
    bears_per_s: float | None = None

    @property
    def is_limit_known(self) -> bool:
        """Whether the answer tells if there is a limit."""
        kinds = {item.kind for item in self.unreadable}
        return not kinds & {NoticeKind.LIMIT, NoticeKind.BRITTLE}


NO_NOTICES = AnswerNotices()
"""The notices of an answer that says nothing of its endpoint."""
