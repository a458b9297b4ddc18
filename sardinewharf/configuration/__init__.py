"""Versions the configuration: documents, plans, storage and updates."""

from sardinewharf.configuration.checks import CheckResult
from sardinewharf.configuration.checks import Finding
from sardinewharf.configuration.checks import Severity
from sardinewharf.configuration.checks import check_text
from sardinewharf.configuration.checks import has_failed
from sardinewharf.configuration.checks import list_differences
from sardinewharf.configuration.checks import parse_version
from sardinewharf.configuration.documents import Adapter
from sardinewharf.configuration.documents import Application
from sardinewharf.configuration.documents import Call
from sardinewharf.configuration.documents import Document
from sardinewharf.configuration.documents import DocumentError
from sardinewharf.configuration.documents import Model
from sardinewharf.configuration.documents import Organisation
from sardinewharf.configuration.documents import RoutingIntent
from sardinewharf.configuration.documents import check_document
from sardinewharf.configuration.documents import hash_api_key
from sardinewharf.configuration.documents import parse_document
from sardinewharf.configuration.holder import ConfigurationHolder
from sardinewharf.configuration.manifests import Commit
from sardinewharf.configuration.manifests import Manifest
from sardinewharf.configuration.manifests import ManifestError
from sardinewharf.configuration.plans import Action
from sardinewharf.configuration.plans import Change
from sardinewharf.configuration.plans import Plan
from sardinewharf.configuration.plans import PlanCost
from sardinewharf.configuration.plans import compare_documents
from sardinewharf.configuration.plans import estimate_cost
from sardinewharf.configuration.plans import make_plan
from sardinewharf.configuration.plans import make_plan_id
from sardinewharf.configuration.shards import Shard
from sardinewharf.configuration.shards import join_shards
from sardinewharf.configuration.shards import make_shard
from sardinewharf.configuration.shards import split_document
from sardinewharf.configuration.snapshots import Snapshot
from sardinewharf.configuration.store import CommitResult
from sardinewharf.configuration.store import Committed
from sardinewharf.configuration.store import CommitUnknown
from sardinewharf.configuration.store import ConfigurationStore
from sardinewharf.configuration.store import Stale
from sardinewharf.configuration.store import StoreDown
from sardinewharf.configuration.watcher import ConfigurationWatcher

__all__ = [
    "Action",
    "Adapter",
    "Application",
    "Call",
    "Change",
    "CheckResult",
    "Commit",
    "CommitResult",
    "CommitUnknown",
    "Committed",
    "ConfigurationHolder",
    "ConfigurationStore",
    "ConfigurationWatcher",
    "Document",
    "DocumentError",
    "Finding",
    "Manifest",
    "ManifestError",
    "Model",
    "Organisation",
    "Plan",
    "PlanCost",
    "RoutingIntent",
    "Severity",
    "Shard",
    "Snapshot",
    "Stale",
    "StoreDown",
    "check_document",
    "check_text",
    "compare_documents",
    "estimate_cost",
    "has_failed",
    "hash_api_key",
    "join_shards",
    "list_differences",
    "make_plan",
    "make_plan_id",
    "make_shard",
    "parse_document",
    "parse_version",
    "split_document",
]
