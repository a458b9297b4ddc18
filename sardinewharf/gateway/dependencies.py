"""Bundles what a dispatcher of requests works with."""

import dataclasses

from sardinewharf import fleet
from sardinewharf import limits
from sardinewharf import records
from sardinewharf.gateway import admission
from sardinewharf.gateway import availability as availability_lib
from sardinewharf.gateway import crash_probes
from sardinewharf.gateway import crashes as crashes_lib
from sardinewharf.gateway import messages
from sardinewharf.gateway import metrics as metrics_lib
from sardinewharf.gateway import notices as notices_lib
from sardinewharf.gateway import overload_control
from sardinewharf.gateway import prompts as prompts_lib
from sardinewharf.gateway import quarantine as quarantine_lib
from sardinewharf.gateway import readers
from sardinewharf.gateway import replica as replica_lib
from sardinewharf.gateway import selection
from sardinewharf.gateway import shutdown as shutdown_lib
from sardinewharf.gateway import tables


@dataclasses.dataclass(frozen=True, slots=True)
class DispatcherDependencies:
    """Bundles the collaborators of a dispatcher.

    Attributes:
        header_codec: Encodes and decodes headers.
        admission_controller: Admits requests.
        availability: Which endpoints may be sent requests.
        selector: Chooses endpoints.
        registry: The known endpoints.
        loads: Estimated load of each endpoint.
        health: Failures and ejections of each endpoint.
        connections: Connection pools of the endpoints.
        budgets: Retry budget of each service.
        replica: This gateway's replica of the store.
        prompts: Where shared prompts are cached.
        crashes: Detects endpoints that crashed while they ran requests.
        crash_prober: Probes endpoints whose connections were lost.
        suspects: Requests that ran when endpoints crashed.
        quarantine: Refuses requests that crash endpoints.
        notices: Records what endpoints state about further requests.
        reports: What endpoints report of their load.
        estimators: What is measured of engines and prompts.
        overload: Lets requests wait for room, or refuses them.
        reader: Reads from endpoints, and detects stalled ones.
        shutdown: Tells whether requests can end before the gateway exits.
        log: Receives a record of each attempt.
        metrics: Counts attempts and their outcomes.
    """

    header_codec: messages.HeaderCodec
    admission_controller: admission.AdmissionController
    availability: availability_lib.EndpointAvailability
    selector: selection.Selector
    registry: fleet.Registry
    loads: fleet.LoadTable
    health: fleet.HealthTable
    connections: tables.ConnectionTable
    budgets: tables.RetryBudgetTable
    replica: replica_lib.Replica
    prompts: prompts_lib.PromptTable
    crashes: crashes_lib.CrashDetector
    crash_prober: crash_probes.CrashProber
    suspects: limits.SuspectTable
    quarantine: quarantine_lib.Quarantine
    notices: notices_lib.NoticeRecorder
    reports: fleet.ReportTable
    estimators: tables.EstimatorTable
    overload: overload_control.OverloadController
    reader: readers.EndpointReader
    shutdown: shutdown_lib.Shutdown
    log: records.RecordSink
    metrics: metrics_lib.GatewayMetrics
