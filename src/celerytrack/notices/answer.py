"""What the head of one answer says of the endpoint that made it."""

import enum

import attrs


class NoticeKind(enum.Enum):
    """What an endpoint may say of itself."""

    LIMIT = "limit"
    """The requests a second that it takes from all entries together."""
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
    :ivar leaving: whether it says that it leaves.
    :ivar backoff_s: for how long it wants no requests; ``None`` if it does not say.
    :ivar unreadable: what it says besides.
    """

    limit_per_s: float | None = None
    leaving: bool = False
    backoff_s: float | None = None
    unreadable: tuple[UnreadableNotice, ...] = ()

    @property
    def is_limit_known(self) -> bool:
        """Whether the answer tells if there is a limit."""
        return all(item.kind is not NoticeKind.LIMIT for item in self.unreadable)


NO_NOTICES = AnswerNotices()
"""The notices of an answer that says nothing of its endpoint."""
