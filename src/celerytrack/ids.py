"""Distinct types for identifiers, so that type checks catch one passed as another."""

from typing import NewType

AccountId = NewType("AccountId", str)
EntryId = NewType("EntryId", str)
ReplicaId = NewType("ReplicaId", str)
RequestId = NewType("RequestId", str)
GrantId = NewType("GrantId", str)
ClassName = NewType("ClassName", str)
Zone = NewType("Zone", str)
"""The name of a failure domain (``nasr-hall``, ``salt-lake``)."""
ServiceName = NewType("ServiceName", str)
EndpointId = NewType("EndpointId", str)
"""One incarnation of an endpoint's process; a restart has a new id."""
PartId = NewType("PartId", str)
"""A part of a prompt for one model; requests whose prompts share it have the same."""
