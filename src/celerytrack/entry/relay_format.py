"""How a caller's request goes from one entry to another, for the own interface."""

import json
from typing import Any

import attrs
from attrs import validators as v

from celerytrack.ids import EntryId, ReplicaId
from celerytrack.reachability.relayed import NAME
from celerytrack.strict import parse_json, strict_converter, structure

RELAY_PATH = "/relay"
REPLICA_PATH = "/replica"
"""Path of the question whether the other entry reaches a replica."""
MAX_TRIED = 64
_converter = strict_converter(forbid_extra_keys=False)


@attrs.frozen
class RelayOrder:
    """What an entry asks of another: one attempt of a request that it admitted.

    :ivar sender: the entry whose caller sent the request.
    :ivar account: the client account, which pays where the caller is.
    :ivar tried: replicas that are not to be chosen.
    :ivar version: software version that wrote the part of the answer that the caller
        has; ``None`` if it has none.
    """

    sender: str = attrs.field(validator=NAME)
    account: str = attrs.field(validator=NAME)
    work_class: str = attrs.field(validator=NAME)
    request_id: str = attrs.field(validator=NAME)
    tried: list[str] = attrs.field(factory=list, validator=v.max_len(MAX_TRIED))
    version: str | None = None

    @property
    def sender_id(self) -> EntryId:
        return EntryId(self.sender)

    @property
    def tried_ids(self) -> frozenset[ReplicaId]:
        return frozenset(ReplicaId(name) for name in self.tried)


@attrs.frozen
class RelayedCall:
    """An order with the bodies that belong to it.

    :ivar caller_body: the caller's request, by which it is admitted and placed.
    :ivar replica_body: what the replica gets.
    """

    order: RelayOrder
    caller_body: dict[str, Any]
    replica_body: dict[str, Any]

    def to_json(self) -> dict[str, Any]:
        """The body of the request to the other entry."""
        return {
            "order": attrs.asdict(self.order),
            "caller_body": self.caller_body,
            "replica_body": self.replica_body,
        }


def decode_call(raw: bytes) -> RelayedCall:
    """Decode the body of a request from another entry.

    :raises UnreadableError: naming what is wrong.
    """
    document = parse_json(raw)
    if not isinstance(document, dict):
        document = {}
    bodies = [document.get("caller_body"), document.get("replica_body")]
    caller_body, replica_body = (b if isinstance(b, dict) else {} for b in bodies)
    order: RelayOrder = structure(_converter, document.get("order"), RelayOrder)
    return RelayedCall(order, caller_body, replica_body)


def encode_call(call: RelayedCall) -> bytes:
    """The body of a request to another entry."""
    return json.dumps(call.to_json()).encode()
