"""Names the identifiers that cross package borders.

Each identifier is a ``NewType`` over ``str`` or ``bytes``, so that a checker
tells them apart while they cost nothing at run time.
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
