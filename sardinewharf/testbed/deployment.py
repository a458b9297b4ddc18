"""Starts and stops the processes of a small deployment on loopback."""

from collections.abc import Callable
import http.client
import pathlib
import subprocess
import sys
import tempfile
import time

import msgspec

from sardinewharf import configuration
from sardinewharf.testbed import http as http_lib
from sardinewharf.testbed import ports
from sardinewharf.testbed import processes

OPERATOR = "ana"
OPERATOR_TOKEN = "operator-token"
KEYS = {
    "almagro": "key-almagro",
    "traversa": "key-traversa",
    "limited": "key-limited",
}
_LOCALHOST = "127.0.0.1"
# Processes share a machine with whatever else runs there.
_START_TIMEOUT_S = 120.0
_STOP_TIMEOUT_S = 20.0
_POLL_INTERVAL_S = 0.02
_SOURCE_ADDRESSES = {"fd1": "127.0.1.1", "fd2": "127.0.2.1", "fd3": "127.0.3.1"}


class TestDeployment:
    """A small deployment whose processes all run on loopback.

    The ``plan_`` methods declare processes, and ``start`` starts them. As a
    context manager it stops all processes on exit.

    Args:
        has_proxy: Whether all connections between processes pass through a
            proxy that can inject faults.

    Attributes:
        processes: Started processes by name.
        kv: ``HOST:PORT`` of the key-value store's test double.
        vms: ``HOST:PORT`` of the VM list's test double.
    """

    def __init__(self, has_proxy: bool = False):
        self._folder = tempfile.TemporaryDirectory(prefix="sardinewharf-")
        self._has_proxy = has_proxy
        self._links: dict[str, tuple[int, str]] = {}
        self._ports: set[int] = set()
        self.processes: dict[str, processes.Process] = {}
        self.kv = self.reserve_address()
        self.vms = self.reserve_address()
        self._daemons: dict[str, tuple[str, list[str], str]] = {}
        self._vm_records: dict[str, dict[str, str]] = {}

    def __enter__(self) -> "TestDeployment":
        return self

    def __exit__(self, *details: object) -> None:
        self.close()

    @property
    def daemons(self) -> list[processes.Process]:
        """The running daemons, sorted by name."""
        return [
            self.processes[name]
            for name in sorted(self._daemons)
            if name in self.processes and self.processes[name].is_live
        ]

    @property
    def links(self) -> list[str]:
        """Names of the proxy's links; empty without a proxy."""
        return list(self._links) if self._has_proxy else []

    @property
    def endpoints(self) -> list[str]:
        """Names of the planned endpoints."""
        return list(self._vm_records)

    @property
    def planned_daemons(self) -> list[str]:
        """Names of the planned daemons."""
        return sorted(self._daemons)

    def wait_for_live_endpoints(self) -> None:
        """Waits until every daemon reports every planned endpoint as live.

        An endpoint counts only with its present incarnation, so that the state
        from before a restart is not taken for the new one.
        """
        for daemon in self.daemons:
            self.wait(
                lambda daemon=daemon: self._reports_all_live(daemon),
                f"{daemon.name} to report every endpoint live",
            )

    def _reports_all_live(self, daemon: processes.Process) -> bool:
        reported = self.read_status(daemon)["endpoints"]
        live = {
            e["endpoint"]: e["incarnation"]
            for e in reported
            if e["state"] == "live"
        }
        return all(
            live.get(name) == self._read_incarnation(name)
            for name in self._vm_records
        )

    def _read_incarnation(self, name: str) -> str:
        address = self.processes[name].address
        return http_lib.get_json(address, "/v1/load").get("incarnation", "")

    def plan_engine(self, name: str, domain: str, *flags: str) -> None:
        """Plans a model engine, with flags for its program."""
        self._plan_endpoint(name, domain, "model_engine", "engine", flags)

    def plan_application(self, name: str, domain: str, service: str) -> None:
        """Plans a server of an application's service."""
        self._plan_endpoint(name, domain, "application", "application", ())
        self._vm_records[name]["service"] = service

    def plan_daemon(self, name: str, domain: str, *flags: str) -> None:
        """Plans a router daemon, with flags for its program."""
        peer = self._add_link(f"peer-{name}", self.reserve_address())
        self._daemons[name] = (domain, list(flags), peer)

    def start(self, kv_flags: tuple[str, ...] = ()) -> None:
        """Starts all planned processes.

        The test doubles respond over HTTP when this returns; daemons may not
        be ready yet.

        Args:
            kv_flags: Flags for the key-value store.
        """
        self._start_standin("kv", self.kv, *kv_flags)
        self._start_standin("vms", self.vms, "--lag-seconds", "10")
        for record in self._vm_records.values():
            flags = record["flags"]
            self._start_standin(
                record["program"], record["target"], *flags, name=record["vm"]
            )
        names = sorted(self._daemons)
        for name in names:
            self._add_link(f"kv-{name}", self.kv)
            self._add_link(f"vms-{name}", self.vms)
        if self._has_proxy:
            self._start_proxy()
        for process in self.processes.values():
            self._wait_for_http(process)
        for name in self._vm_records:
            self.register_vm(name, now=True)
        for name in names:
            self.start_daemon(name)

    def start_daemon(self, name: str) -> processes.Process:
        """Starts a planned daemon, or restarts one that has exited.

        A restarted daemon keeps its addresses.
        """
        domain, flags, peer = self._daemons[name]
        old = self.processes.get(name)
        listen = old.address if old else self.reserve_address()
        admin = old.admin if old else self.reserve_address()
        peers = ",".join(entry[2] for entry in self._daemons.values())
        token = configuration.hash_api_key(OPERATOR_TOKEN)
        arguments = [
            sys.executable,
            "-m",
            "sardinewharf.daemon.program",
            f"--name={name}",
            f"--failure-domain={domain}",
            f"--listen={listen}",
            f"--admin-listen={admin}",
            f"--peer-listen={self._find_peer_listen_address(name)}",
            f"--peer-address={peer}",
            f"--peers={peers}",
            f"--kv={self._resolve_link(f'kv-{name}', self.kv)}",
            f"--vm-list={self._resolve_link(f'vms-{name}', self.vms)}",
            f"--operators={OPERATOR}={token}",
            f"--source-address={_SOURCE_ADDRESSES.get(domain, '')}",
            *flags,
        ]
        process = self._spawn(name, listen, arguments)
        process.admin = admin
        return process

    def start_module(
        self, name: str, module: str, *flags: str
    ) -> processes.Process:
        """Runs another module with ``--port`` and waits until it responds."""
        address = self.reserve_address()
        port = address.rsplit(":", 1)[1]
        arguments = [sys.executable, "-m", module, "--port", port, *flags]
        process = self._spawn(name, address, arguments)
        self._wait_for_http(process)
        return process

    def apply(self, document: str, daemon: str | None = None) -> int:
        """Applies a configuration through the operator API.

        Args:
            document: Configuration in TOML.
            daemon: Daemon to send it to; the first running one by default.

        Returns:
            Version of the committed configuration.

        Raises:
            processes.DeploymentError: If the plan or the commit is rejected.
        """
        name = daemon or self.daemons[0].name
        admin = self.processes[name].admin
        self.wait(
            lambda: http_lib.responds(admin),
            f"{name} to respond to operators",
            _START_TIMEOUT_S,
        )
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        plan = http_lib.call(
            admin, "POST", "/admin/v1/plan", document.encode(), headers
        )
        if plan.status != 200:
            raise processes.DeploymentError(plan.body.decode())
        commit = http_lib.call(
            admin, "POST", "/admin/v1/confirm", plan.body, headers
        )
        if commit.status != 200:
            raise processes.DeploymentError(commit.body.decode())
        return commit.json()["version"]

    def wait_ready(self, version: int = 1) -> None:
        """Waits until every daemon is ready and has a configuration version.

        Args:
            version: The least version that each daemon must have applied.
        """
        for daemon in self.daemons:
            self.wait(
                lambda daemon=daemon: self.read_version(daemon) >= version,
                f"{daemon.name} to have version {version}",
                _START_TIMEOUT_S,
            )
            self.wait(
                lambda daemon=daemon: http_lib.succeeds(
                    daemon.address, "GET", "/readyz"
                ),
                f"{daemon.name} to be ready",
                _START_TIMEOUT_S,
            )

    def read_status(self, daemon: processes.Process) -> dict:
        """Returns the status that a daemon reports to operators."""
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        return http_lib.call(
            daemon.admin, "GET", "/admin/v1/status", headers=headers
        ).json()

    def read_version(self, daemon: processes.Process) -> int:
        """Returns a daemon's configuration version, or -1 if unreachable."""
        try:
            return self.read_status(daemon)["version"]
        except (OSError, http.client.HTTPException):
            return -1

    def set_faults(self, name: str, **faults: object) -> None:
        """Sets the faults that a test double injects; others are cleared."""
        http_lib.post_json(self.processes[name].address, "/faults", faults)

    def set_link_faults(self, link: str, **faults: object) -> None:
        """Sets the faults that the proxy injects on a link."""
        address = self.processes["proxy"].address
        response = http_lib.post_json(address, f"/links/{link}", faults)
        if response.status != 200:
            raise processes.DeploymentError(
                f"No link {link}: {response.status}."
            )

    def read_record(self, name: str) -> dict:
        """Returns what a test double recorded about the requests it handled."""
        return http_lib.get_json(self.processes[name].address, "/record")

    def register_vm(
        self, name: str, now: bool = False, state: str = "live"
    ) -> None:
        """Writes an endpoint's VM to the VM list.

        Args:
            name: Name of the endpoint.
            now: Whether the list shows the change at once, without its lag.
            state: State of the VM.
        """
        record = self._vm_records[name]
        keys = ("vm", "address", "kind", "failure_domain", "service")
        body = {key: record[key] for key in keys if key in record}
        body["state"] = state
        path = f"/v1/vms/{name}" + ("?now=1" if now else "")
        encoded = msgspec.json.encode(body)
        http_lib.call(self.processes["vms"].address, "PUT", path, encoded)

    def restart(self, name: str) -> None:
        """Restarts a process on its old address; kills it first if it runs."""
        old = self.processes[name]
        if old.is_live:
            old.kill()
        process = self._spawn(name, old.address, old.arguments)
        self._wait_for_http(process)

    def wait(
        self, check: Callable[[], object], what: str, seconds: float = 30.0
    ) -> None:
        """Waits until a condition is met.

        Args:
            check: Returns whether the condition is met; it is polled.
            what: Completes the message "Waited N s for ...".
            seconds: Timeout.

        Raises:
            processes.DeploymentError: If the condition is not met in time.
        """
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if check():
                return
            time.sleep(_POLL_INTERVAL_S)
        raise processes.DeploymentError(f"Waited {seconds:g} s for {what}.")

    def close(self) -> None:
        """Terminates all processes; kills those that still run after 2 s."""
        for process in self.processes.values():
            if process.is_live:
                process.thaw()
                process.popen.terminate()
        end = time.monotonic() + 2.0
        for process in self.processes.values():
            try:
                process.popen.wait(max(0.01, end - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
        self._folder.cleanup()

    def _plan_endpoint(
        self,
        name: str,
        domain: str,
        kind: str,
        program: str,
        flags: tuple[str, ...],
    ) -> None:
        target = self.reserve_address()
        self._vm_records[name] = {
            "vm": name,
            "address": self._add_link(name, target),
            "target": target,
            "kind": kind,
            "failure_domain": domain,
            "program": program,
            "flags": flags,
        }

    def reserve_address(self) -> str:
        """Returns a free loopback address that was not returned before."""
        while True:
            port = ports.find_free_port()
            if port not in self._ports:
                self._ports.add(port)
                return f"{_LOCALHOST}:{port}"

    def _add_link(self, name: str, target: str) -> str:
        if not self._has_proxy:
            self._links[name] = (0, target)
            return target
        address = self.reserve_address()
        port = int(address.rsplit(":", 1)[1])
        self._links[name] = (port, target)
        return address

    def _resolve_link(self, link: str, target: str) -> str:
        port = self._links[link][0]
        return f"{_LOCALHOST}:{port}" if port else target

    def _find_peer_listen_address(self, name: str) -> str:
        return self._links[f"peer-{name}"][1]

    def _start_proxy(self) -> None:
        flags = [
            f"--link={name}={port}:{target}"
            for name, (port, target) in self._links.items()
        ]
        self._start_standin("proxy", self.reserve_address(), *flags)

    def _start_standin(
        self, program: str, address: str, *flags: str, name: str = ""
    ) -> processes.Process:
        port = address.rsplit(":", 1)[1]
        module = f"sardinewharf.standins.{program}"
        arguments = [sys.executable, "-m", module, "--port", port, *flags]
        return self._spawn(name or program, address, arguments)

    def _spawn(
        self, name: str, address: str, arguments: list[str]
    ) -> processes.Process:
        log = pathlib.Path(self._folder.name) / f"{name}.log"
        process = processes.start_process(name, address, arguments, log)
        self.processes[name] = process
        return process

    def _wait_for_http(self, process: processes.Process) -> None:
        self.wait(
            lambda: http_lib.responds(process.address) or not process.is_live,
            f"{process.name} to respond",
            _START_TIMEOUT_S,
        )
        if not process.is_live:
            raise processes.DeploymentError(process.log.read_text()[-2000:])
