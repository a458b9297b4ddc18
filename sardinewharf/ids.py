"""Defines the types of identifiers that several packages use.

Each one is a ``NewType`` of ``str`` or ``bytes``, so that a type checker tells
them apart at no cost at run time.
"""

from typing import NewType

OrganisationId = NewType("OrganisationId", str)
ModelId = NewType("ModelId", str)
AdapterId = NewType("AdapterId", str)
ApplicationId = NewType("ApplicationId", str)
WeightsVersion = NewType("WeightsVersion", str)
VmId = NewType("VmId", str)
EndpointId = NewType("EndpointId", str)
DaemonId = NewType("DaemonId", str)
FailureDomainId = NewType("FailureDomainId", str)
Incarnation = NewType("Incarnation", str)
RequestId = NewType("RequestId", str)
AttemptId = NewType("AttemptId", str)
PlanId = NewType("PlanId", str)
BlockId = NewType("BlockId", bytes)
