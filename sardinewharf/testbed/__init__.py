"""Runs small deployments on loopback for demos, tests and benchmarks."""

from sardinewharf.testbed.deployment import KEYS
from sardinewharf.testbed.deployment import OPERATOR_TOKEN
from sardinewharf.testbed.deployment import TestDeployment
from sardinewharf.testbed.documents import write_sample
from sardinewharf.testbed.http import Response
from sardinewharf.testbed.http import call
from sardinewharf.testbed.http import get_json
from sardinewharf.testbed.http import post_json
from sardinewharf.testbed.processes import DeploymentError
from sardinewharf.testbed.processes import Process

__all__ = [
    "KEYS",
    "OPERATOR_TOKEN",
    "DeploymentError",
    "Process",
    "Response",
    "TestDeployment",
    "call",
    "get_json",
    "post_json",
    "write_sample",
]
