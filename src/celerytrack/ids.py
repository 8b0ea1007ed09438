"""Typed identifiers, so an account id is never passed where a replica id goes."""

from typing import NewType

AccountId = NewType("AccountId", str)
EntryId = NewType("EntryId", str)
ReplicaId = NewType("ReplicaId", str)
RequestId = NewType("RequestId", str)
GrantId = NewType("GrantId", str)
ClassName = NewType("ClassName", str)
Zone = NewType("Zone", str)
"""A failure domain, named as the brief names it (``nasr-hall``, ``salt-lake``)."""
ServiceName = NewType("ServiceName", str)
EndpointId = NewType("EndpointId", str)
"""One start of one back-end process; a restart has a new id."""
