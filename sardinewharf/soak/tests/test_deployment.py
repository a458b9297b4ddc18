"""Tests how a deployment tells its servers of faults."""

import threading
import time

import msgspec

from sardinewharf.soak import deployment as deployment_lib


def test_faults_that_end_at_the_same_moment_all_end(tmp_path, monkeypatch):
    """One lasted for good: the server heard of the ends in the wrong order."""
    deployment = deployment_lib.Deployment(
        tmp_path, deployment_lib.DeploymentSize()
    )
    posted = []
    first_is_sent = threading.Event()

    def post(address, path, body):
        is_first = not first_is_sent.is_set()
        first_is_sent.set()
        if is_first:
            time.sleep(0.2)
        posted.append(msgspec.json.decode(body))
        return True

    monkeypatch.setattr(deployment, "_post", lambda *_: True)
    deployment.set_lasting_fault("s0", "leaving", True)
    deployment.set_server_faults("s0", hang=True)
    monkeypatch.setattr(deployment, "_post", post)
    lasting = threading.Thread(
        target=deployment.set_lasting_fault, args=("s0", "leaving", None)
    )
    lasting.start()
    first_is_sent.wait()
    deployment.set_server_faults("s0")
    lasting.join()
    assert posted[-1] == {}
