"""Starts and stops the processes of a soak run on loopback."""

import contextlib
import dataclasses
import http.client
import os
import pathlib
import signal
import sys
import threading
import time

import msgspec

from sardinewharf import clocks
from sardinewharf.gateway import settings as settings_lib
from sardinewharf.testbed import gateway_harness
from sardinewharf.testbed import http as http_lib
from sardinewharf.testbed import processes

_FRONT_PORT = 8_782
_READY_PORT = 8_789
_PEER_PORTS = [7_340, 7_355]
_STORE_PORT = 9_001
_CONTROL_PORT = 9_002
_FIRST_SERVER_PORT = 9_100
_FIRST_LINK_PORT = 9_200
_START_TIMEOUT_S = 60.0
_POLL_INTERVAL_S = 0.02
_CALL_TIMEOUT_S = 2.0
_PACKAGE = "sardinewharf"
# Bounds that are documented for deployments of this size.
GUARANTEES = settings_lib.Guarantees(
    retry_ratio=0.2, retry_extra=54, revoke_ms=5_000
)


@dataclasses.dataclass(frozen=True, slots=True)
class DeploymentSize:
    """Numbers of processes in a soak run.

    Attributes:
        gateways: Number of gateways.
        engines: Number of engines.
        servers: Number of application servers.
    """

    gateways: int = 4
    engines: int = 3
    servers: int = 3


@dataclasses.dataclass(slots=True)
class _ProcessSpec:
    """How to start a process, and whether it should run.

    Attributes:
        module: Module to run.
        flags: Command line flags; ``@ID`` stands for the number of ids.
        env: Environment variables besides the inherited ones.
        id_count: Number of ids that it had, one after the other.
        should_run: Whether it should be running now.
    """

    module: str
    flags: list[str]
    env: dict[str, str]
    id_count: int = 0
    should_run: bool = False


class Deployment:
    """The processes of a soak run.

    Each deployment has a loopback network of its own. Connections to gateways
    and servers, and from gateways to the store, pass through a proxy that can
    inject faults.

    Args:
        folder: Folder for logs, journals and settings.
        size: Numbers of processes.

    Attributes:
        folder: The same folder.
        gateways: Names of the gateways.
        engines: Names of the engines.
        servers: Names of the application servers.
        processes: Started processes by name.
        store: ``IP:PORT`` of the store.
    """

    def __init__(self, folder: pathlib.Path, size: DeploymentSize):
        self.folder = folder
        self.gateways = [f"g{i}" for i in range(size.gateways)]
        self.engines = [f"e{i}" for i in range(size.engines)]
        self.servers = [f"s{i}" for i in range(size.servers)]
        self.processes: dict[str, processes.Process] = {}
        self._network = _choose_loopback_network()
        self._specs: dict[str, _ProcessSpec] = {}
        self._links: dict[str, tuple[int, str]] = {}
        # Faults of each server, of which the lasting ones outlive its restart.
        # Faults begin and end in threads of their own.
        self._fault_lock = threading.Lock()
        self._faults: dict[str, dict[str, object]] = {}
        self._lasting_faults: dict[str, dict[str, object]] = {}
        self._host = self._make_address(1)
        self.store = f"{self._host}:{_STORE_PORT}"
        self._plan_processes()

    def start(self) -> None:
        """Starts all processes and waits until the gateways are ready."""
        self.start_process("store")
        self.start_process("proxy")
        self.wait(
            lambda: http_lib.responds(self.store, _CALL_TIMEOUT_S), "store"
        )
        control = f"{self._host}:{_CONTROL_PORT}"
        self.wait(lambda: http_lib.responds(control, _CALL_TIMEOUT_S), "proxy")
        self.put("op/config", gateway_harness.make_manifest())
        for name in [*self.engines, *self.servers, *self.gateways]:
            self.start_process(name)
        for name in self.gateways:
            self.wait(lambda name=name: self.is_ready(name), name)

    def start_process(self, name: str, *, keeps_id: bool = False) -> None:
        """Starts a process; a server gets a new id unless it keeps its own."""
        spec = self._specs[name]
        if not keeps_id:
            spec.id_count += 1
        flags = [flag.replace("@ID", str(spec.id_count)) for flag in spec.flags]
        if name in self._lasting_faults:
            faults = msgspec.json.encode(self._lasting_faults[name])
            flags.append(f"--faults={faults.decode()}")
        arguments = [sys.executable, "-m", spec.module, *flags]
        self.processes[name] = processes.start_process(
            name, "", arguments, self.find_log(name), **spec.env
        )
        # Only now: until then the former process is checked, which has exited.
        spec.should_run = True

    def start_clients(self, name: str, module: str, flags: list[str]) -> None:
        """Starts a process of clients; ``kill`` ends it.

        Args:
            name: Name of the process.
            module: Module to run.
            flags: Its command line flags.
        """
        self._specs[name] = _ProcessSpec(module, flags, {})
        self.start_process(name)

    def kill(self, name: str) -> None:
        """Kills a process with SIGKILL."""
        self._specs[name].should_run = False
        self.processes[name].kill()

    def terminate(self, name: str) -> None:
        """Sends SIGTERM, so that the process drains and exits."""
        self._specs[name].should_run = False
        self.processes[name].popen.terminate()

    def has_exited(self, name: str) -> bool:
        """Returns whether a process has exited."""
        return not self.processes[name].is_live

    def reload(self, name: str) -> None:
        """Rewrites a gateway's settings file and sends SIGHUP."""
        self._write_settings(name, self.gateways.index(name))
        self.processes[name].popen.send_signal(signal.SIGHUP)

    def list_unexpected_exits(self) -> list[str]:
        """Returns the processes that exited without being told to."""
        return [
            name
            for name, process in self.processes.items()
            if self._specs[name].should_run and not process.is_live
        ]

    def put(self, key: str, value: object) -> bool:
        """Writes a key to the store; returns whether the store accepted it."""
        body = value if isinstance(value, bytes) else msgspec.json.encode(value)
        return self._post(self.store, f"/soak/put?key={key}", body)

    def remove(self, key: str) -> bool:
        """Removes a key from the store; returns whether the store did."""
        return self._post(self.store, f"/soak/remove?key={key}", b"")

    def set_store_faults(self, **faults: object) -> bool:
        """Sets the faults that the store injects; returns whether it did."""
        body = msgspec.json.encode(faults)
        return self._post(self.store, "/soak/faults", body)

    def compact_store(self) -> bool:
        """Compacts the store's history; returns whether it did."""
        return self._post(self.store, "/soak/compact", b"")

    def set_link_faults(self, link: str, **faults: object) -> bool:
        """Sets the faults that the proxy injects on a link."""
        control = f"{self._host}:{_CONTROL_PORT}"
        body = msgspec.json.encode(faults)
        return self._post(control, f"/links/{link}", body)

    def set_server_faults(self, name: str, **faults: object) -> bool:
        """Sets the faults that a server or engine injects.

        Lasting faults stay, unless a given one takes their place.
        """
        with self._fault_lock:
            self._faults[name] = faults
            return self._send_faults(name)

    def set_lasting_fault(self, name: str, harm: str, value: object) -> bool:
        """Sets or, with None, clears a fault that outlives restarts."""
        with self._fault_lock:
            lasting = self._lasting_faults.setdefault(name, {})
            lasting[harm] = value
            if value is None:
                del lasting[harm]
            return self._send_faults(name)

    def _send_faults(self, name: str) -> bool:
        faults = self._lasting_faults.get(name, {}) | self._faults.get(name, {})
        body = msgspec.json.encode(faults)
        return self._post(self._find_server(name), "/soak/faults", body)

    def pause_server(self, name: str, seconds: float) -> bool:
        """Makes a server or engine send nothing for some seconds."""
        path = f"/soak/pause?s={seconds}"
        return self._post(self._find_server(name), path, b"")

    def set_server_state(self, name: str, state: str) -> bool:
        """Sets the state that a server or engine registers in the store."""
        path = f"/soak/state?is={state}"
        return self._post(self._find_server(name), path, b"")

    def read_weights_version(self, engine: str) -> int:
        """Returns the weights version of an engine, or 0 if unreachable."""
        with contextlib.suppress(OSError, http.client.HTTPException):
            response = http_lib.call(
                self._find_server(engine),
                "GET",
                "/-/report",
                seconds=_CALL_TIMEOUT_S,
            )
            return response.json()["models"][0]["version"]
        return 0

    def is_ready(self, gateway: str) -> bool:
        """Returns whether a gateway's readiness probe returns 200."""
        address = self.find_ready_address(gateway)
        return http_lib.succeeds(
            address, "GET", "/-/ready", seconds=_CALL_TIMEOUT_S
        )

    def find_ready_address(self, gateway: str) -> str:
        """Returns the address of a gateway's readiness probe."""
        return f"{self._find_host(gateway)}:{_READY_PORT}"

    def find_front_address(self, gateway: str) -> str:
        """Returns the proxy's address through which callers reach a gateway."""
        return f"{self._host}:{self._links[f'front-{gateway}'][0]}"

    def find_direct_address(self, gateway: str) -> str:
        """Returns the address of a gateway for callers without the proxy."""
        return f"{self._find_host(gateway)}:{_FRONT_PORT}"

    def find_journal(self, name: str) -> pathlib.Path:
        """Returns the path of a server's journal."""
        return self.folder / f"{name}.jsonl"

    def find_log(self, name: str) -> pathlib.Path:
        """Returns the path of a process's log."""
        return self.folder / f"{name}.log"

    def wait(self, check, name: str) -> None:
        """Waits until a process meets a condition.

        Args:
            check: Returns whether the condition is met; it is polled.
            name: Name of the process.

        Raises:
            processes.DeploymentError: If the condition is not met in time, or
                the process has exited.
        """
        end = clocks.Deadline.after(_START_TIMEOUT_S)
        while not check():
            if name in self.list_unexpected_exits() or end.is_past():
                log = self.find_log(name).read_text()[-2000:]
                raise processes.DeploymentError(
                    f"{name} did not start; end of its log: {log}"
                )
            time.sleep(_POLL_INTERVAL_S)

    def close(self) -> None:
        """Kills all processes."""
        for process in self.processes.values():
            if process.is_live:
                process.thaw()
                process.kill()

    def _plan_processes(self) -> None:
        listen = ["--host", self._host, "--port"]
        store = [*listen, str(_STORE_PORT)]
        self._specs["store"] = _ProcessSpec(f"{_PACKAGE}.soak.store", store, {})
        for index, name in enumerate([*self.engines, *self.servers]):
            self._plan_server(name, f"fd-{index % 2}")
        for index, name in enumerate(self.gateways):
            self._add_link(f"store-{name}", self.store)
            self._add_link(f"front-{name}", self.find_direct_address(name))
            path = self._write_settings(name, index)
            self._specs[name] = _ProcessSpec(
                f"{_PACKAGE}.launcher",
                [],
                {"SARDINEWHARF_CONFIG": str(path)},
            )
        links = [f"--link={n}={p}:{t}" for n, (p, t) in self._links.items()]
        self._specs["proxy"] = _ProcessSpec(
            f"{_PACKAGE}.standins.proxy",
            [*listen, str(_CONTROL_PORT), *links],
            {},
        )

    def _plan_server(self, name: str, domain: str) -> None:
        target = self._find_server(name)
        flags = [
            f"--id={name}.@ID",
            f"--listen={target}",
            f"--address={self._add_link(name, target)}",
            f"--store={self.store}",
            f"--zone={domain}",
            f"--journal={self.find_journal(name)}",
        ]
        if name in self.engines:
            flags.append("--is-engine")
        self._specs[name] = _ProcessSpec(f"{_PACKAGE}.soak.server", flags, {})

    def _write_settings(self, name: str, index: int) -> pathlib.Path:
        """Writes a gateway's settings file and returns its path."""
        host = self._find_host(name)
        settings = {
            "node": name,
            "zone": f"fd-{index % 2}",
            "ip": host,
            "listen": {
                "front": f"{host}:{_FRONT_PORT}",
                "ready": f"{host}:{_READY_PORT}",
            },
            "platform": {
                "address": f"{self._host}:{self._links[f'store-{name}'][0]}"
            },
            "port_range": _PEER_PORTS,
            "bounds": {
                "retry_budget_ratio": GUARANTEES.retry_ratio,
                "budget_extra": GUARANTEES.retry_extra,
                "revoke_fail_closed": True,
                "revoke_ms": GUARANTEES.revoke_ms,
            },
        }
        path = self.folder / f"{name}.json"
        path.write_bytes(msgspec.json.encode(settings))
        return path

    def _add_link(self, name: str, target: str) -> str:
        port = _FIRST_LINK_PORT + len(self._links)
        self._links[name] = (port, target)
        return f"{self._host}:{port}"

    def _find_host(self, gateway: str) -> str:
        return self._make_address(10 + self.gateways.index(gateway))

    def _find_server(self, name: str) -> str:
        index = [*self.engines, *self.servers].index(name)
        return f"{self._host}:{_FIRST_SERVER_PORT + index}"

    def _make_address(self, number: int) -> str:
        return f"{self._network}.{number}"

    def _post(self, address: str, path: str, body: bytes) -> bool:
        return http_lib.succeeds(address, "POST", path, body, _CALL_TIMEOUT_S)


def _choose_loopback_network() -> str:
    """Returns the first three bytes of a loopback network.

    They depend on the process id, so that runs side by side do not collide.
    """
    pid = os.getpid()
    return f"127.{1 + pid // 250 % 250}.{1 + pid % 250}"
