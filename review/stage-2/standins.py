"""Stand-ins of the platform for the scripts of this review.

A store, servers, callers and the start of gateways, with the standard library
alone. They follow the users' pages and listen on loopback addresses only.
"""

import asyncio
import base64
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
X = "x-sardinewharf-"
# Time of an answer of the store, and its history.
ANSWER_S = 0.004
HISTORY_S = 20
HEARTBEAT_S = 1.2
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "contact_ms": 3000,
    "ack_timeout_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "max_skew_ms": 5000,
    "revoke_fail_closed": True,
    "revoke_ms": 5000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_extra": 58,
    "recover_s": 12,
    "transit_ms": 120,
    "reuse_window_s": 10,
    "require_fencing": True,
    "lease_ms": 3000,
    "thaw_slack_ms": 300,
    "version_ms": 10000,
    "version_all_ms": 14000,
}


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self._path = pathlib.Path(path)
        self._path.write_text("")
        self._start = time.monotonic()

    def now(self):
        """Returns the seconds since the start."""
        return time.monotonic() - self._start

    def write(self, text):
        """Writes one line."""
        with self._path.open("a") as file:
            file.write(f"{self.now():8.3f} {text}\n")


@dataclasses.dataclass
class Request:
    """A request that arrived."""

    method: str
    target: str
    headers: dict
    body: bytes


async def read_message(reader):
    """Reads one request or response; returns its first line, headers, body.

    None if the connection ends before it is whole.
    """
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head[:-4].split("\r\n")
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers.setdefault(name.lower(), value.strip())
        body = b""
        if "chunked" in headers.get("transfer-encoding", ""):
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                body += (await reader.readexactly(size + 2))[:-2]
                if not size:
                    break
        elif "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        return first, headers, body
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None


def encode(status, headers, body=b""):
    """Returns the bytes of a response."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"content-length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Listener:
    """An HTTP server on one address; ``handle`` writes the responses."""

    def __init__(self, handle):
        self._handle = handle
        self._writers = set()
        self._server = None
        self.address = ""

    async def open(self, port=0):
        """Starts to listen."""
        self._server = await asyncio.start_server(self._serve, HOST, port)
        bound = self._server.sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                method, target, _ = message[0].split(" ")
                request = Request(method, target, message[1], message[2])
                task = asyncio.ensure_future(self._handle(request, writer))
                gone = asyncio.ensure_future(self._watch(reader))
                await asyncio.wait(
                    {task, gone}, return_when=asyncio.FIRST_COMPLETED
                )
                gone.cancel()
                if not task.done():
                    task.cancel()
                    return
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _watch(self, reader):
        """Returns when the peer has closed the connection."""
        while not reader.at_eof():  # noqa: ASYNC110
            await asyncio.sleep(0.005)

    def close(self):
        """Stops listening and resets all connections."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()


class Store:
    """The platform's store: keys, leases, history and watches."""

    def __init__(self):
        self.items = {}
        self.history = []
        self.revision = 1
        # The history up to this revision is gone.
        self.dropped = 0
        self._leases = {}
        self._next_lease = 100
        self._changed = asyncio.Event()

    def put(self, key, value, lease=0):
        """Writes a key; returns the revision, which is the ack."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        return self._write(key, base64.b64encode(raw).decode(), lease)

    def _write(self, key, value, lease):
        self.revision += 1
        created = self.items.get(key, {}).get("create_revision", self.revision)
        self.items[key] = {
            "key": key,
            "value": value,
            "rev": self.revision,
            "create_revision": created,
            "lease": lease,
        }
        self._append(self.items[key])
        return self.revision

    def remove(self, key):
        """Removes a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._append({"key": key, "rev": self.revision, "deleted": True})

    def _append(self, event):
        self.history.append((time.monotonic(), event))
        while time.monotonic() - self.history[0][0] > HISTORY_S:
            self.dropped = self.history.pop(0)[1]["rev"]
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def listen(self):
        """Returns one more address of the store, not open yet."""
        return Listener(self.handle)

    async def expire(self):
        """Ends leases that run out, until cancelled."""
        while True:
            await asyncio.sleep(0.02)
            for lease, (end, _) in list(self._leases.items()):
                if end <= time.monotonic():
                    self._end(lease)

    def grant(self, ttl_s):
        """Returns a lease of a server."""
        self._next_lease += 1
        self._leases[self._next_lease] = (time.monotonic() + ttl_s, ttl_s)
        return self._next_lease

    def renew(self, lease):
        """Renews a lease of a server."""
        if lease in self._leases:
            ttl_s = self._leases[lease][1]
            self._leases[lease] = (time.monotonic() + ttl_s, ttl_s)

    def _end(self, lease):
        del self._leases[lease]
        for key in [k for k, i in self.items.items() if i["lease"] == lease]:
            self.remove(key)

    async def handle(self, request, writer):
        """Answers one call."""
        url = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        call, _, tail = url.path.removeprefix("/-/").partition("/")
        body = json.loads(request.body) if request.body else {}
        await asyncio.sleep(ANSWER_S)
        status, answer = await self._answer(call, tail, query, body)
        writer.write(
            encode(
                status,
                [("content-type", "application/json")],
                json.dumps(answer).encode(),
            )
        )

    async def _answer(self, call, tail, query, body):
        if call == "kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {}
            return 200, item | {"store_revision": self.revision}
        if call == "kv-range":
            keys = sorted(
                k
                for k in self.items
                if k.startswith(query["prefix"]) and k > query.get("after", "")
            )
            return 200, {
                "items": [self.items[k] for k in keys[:500]],
                "more_pages": len(keys) > 500,
                "store_revision": self.revision,
            }
        if call == "kv-watch":
            if int(query["after"]) < self.dropped:
                return 410, {}
            return 200, await self._watch(query)
        if call == "kv-txn":
            return self._commit(body)
        if call == "kv-lease":
            self._next_lease += 1
            ttl = body["ttl_ms"] / 1000
            self._leases[self._next_lease] = (time.monotonic() + ttl, ttl)
            return 200, {"lease": self._next_lease, "ttl_ms": body["ttl_ms"]}
        if call == "kv-keep":
            if int(tail) not in self._leases:
                return 404, {}
            ttl = self._leases[int(tail)][1]
            self._leases[int(tail)] = (time.monotonic() + ttl, ttl)
            return 200, {"ttl_ms": int(ttl * 1000)}
        if call == "kv-lease-end":
            if int(tail) in self._leases:
                self._end(int(tail))
            return 200, {}
        return 404, {}

    async def _watch(self, query):
        after, prefix = int(query["after"]), query["prefix"]
        end = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            changed = self._changed
            events = [
                event
                for _, event in self.history
                if event["rev"] > after and event["key"].startswith(prefix)
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return {"events": events, "store_revision": self.revision}
            with contextlib.suppress(TimeoutError, asyncio.TimeoutError):
                await asyncio.wait_for(changed.wait(), left)

    def _commit(self, body):
        written = [row["key"] for row in body.get("put", [])]
        if any(
            key.startswith(("op/", "servers/"))
            for key in [*written, *body.get("remove", [])]
        ):
            return 403, {}
        for row in body.get("expected", []):
            item = self.items.get(row["key"], {"rev": 0})
            if item["rev"] != row["rev"]:
                keys = [r["key"] for r in body["expected"]]
                found = [self.items[k] for k in keys if k in self.items]
                return 412, {"items": found}
        for row in body.get("put", []):
            if row.get("lease") and row["lease"] not in self._leases:
                return 404, {}
        for row in body.get("put", []):
            self._write(row["key"], row["value"], row.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"rev": self.revision}


class Server:
    """A sound server of a service, registered in the store."""

    slots = 6
    queue = 24

    def __init__(self, store, record, server_id, service, zone="zone-a"):
        self.store = store
        self.record = record
        self.id = server_id
        self.service = service
        self.zone = zone
        self.runs = []
        self.work_s = 0.02
        self.listener = Listener(self.handle)
        self._free = asyncio.Semaphore(self.slots)
        self._held = 0
        self._beats = None

    async def start(self):
        """Listens, registers in the store and checks in from then on."""
        await self.listener.open()
        lease = self.store.grant(3 * HEARTBEAT_S)
        entry = {
            "service": self.service,
            "address": self.listener.address,
            "zone": self.zone,
            "version": 1,
            "slots": self.slots,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": int(time.time() * 1000),
        }
        self.store.put(f"servers/{self.id}", entry, lease)
        self._beats = asyncio.ensure_future(self._check_in(lease))

    async def _check_in(self, lease):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.store.renew(lease)

    async def handle(self, request, writer):
        """Answers one request: runs it, or says that it does not."""
        request_id = request.headers.get(X + "request-id", "")
        running = min(self._held, self.slots)
        load = f"{running},{self._held - running},{self.slots}"
        echo = [
            (X + "request-id", request_id),
            (X + "server-load", load),
            ("keep-alive", "timeout=10"),
        ]
        if request.target == "/health":
            identity = (X + "instance-id", self.id)
            writer.write(encode(200, [*echo, identity]))
            return
        if request.headers.get(X + "expect-instance", self.id) != self.id:
            writer.write(encode(421, echo))
            return
        not_run = (X + "not-run", "1")
        if not request_id:
            writer.write(encode(400, [*echo, not_run]))
            return
        if self._held >= self.slots + self.queue:
            writer.write(encode(503, [*echo, not_run]))
            return
        budget_s = int(request.headers.get(X + "deadline-ms", "60000")) / 1000
        self._held += 1
        has_begun = False
        try:
            async with asyncio.timeout(budget_s), self._free:
                has_begun = True
                self.runs.append((time.monotonic(), request_id))
                self.record.write(f"{self.id} runs {request_id}")
                stamp = (X + "server-stamp", f"{self.id}.stamp")
                await self.respond(request_id, [*echo, stamp], writer)
        except TimeoutError:
            # Nothing was written unless a stream had begun, which is cut then.
            if has_begun:
                writer.close()
            else:
                writer.write(encode(503, [*echo, not_run]))
        finally:
            self._held -= 1

    async def respond(self, request_id, headers, writer):
        """Works, and writes the answer."""
        await asyncio.sleep(self.work_s)
        body = f"{self.service} {request_id}".encode()
        writer.write(encode(200, headers, body))


@dataclasses.dataclass
class Answer:
    """A whole answer that a caller got."""

    status: int
    headers: dict
    body: bytes


async def send(address, path, headers, method="GET", body=b"", limit_s=5.0):
    """Sends one request on a new channel; None if no whole answer came."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f"{method} {path} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            if body or method != "GET":
                lines.append(f"content-length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            message = await read_message(reader)
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()
    if message is None:
        return None
    return Answer(int(message[0].split(" ")[1]), message[1], message[2])


def make_id():
    """Returns the id of a request."""
    return f"{random.getrandbits(64):016x}"


def choose_ports(count):
    """Returns free ports of the loopback address."""
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind((HOST, 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


class Gateway:
    """A gateway as the deploy file starts it."""

    def __init__(self, folder, name, ip, store_address, zone="zone-a"):
        self.name = name
        self.ip = ip
        self.path = pathlib.Path(folder) / f"{name}.json"
        self._log = pathlib.Path(folder) / f"{name}.log"
        self.front = f"{ip}:8782"
        self.ready = f"{ip}:8789"
        self._zone = zone
        self.process = None
        self.write_settings(store_address)

    def write_settings(self, store_address, **bounds):
        """Writes the settings file."""
        settings = {
            "node": self.name,
            "role": "gateway",
            "machine_class": "front",
            "serves": ["front"],
            "ip": self.ip,
            "zone": self._zone,
            "region": "region-a",
            "zones": {self._zone: "region-a"},
            "listen": {"front": self.front, "ready": self.ready},
            "port_range": [7340, 7355],
            "seeds": [],
            "bootstrap": True,
            "fault_counted": False,
            "limits": {
                "cpu_share": 0.537,
                "cpu_cores": 2,
                "memory_mb": 150,
                "max_fds": 4100,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
            "data_dir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeat_ms": 1200,
            "contracts": ["base", "drain", "config", "tenants", "platform"],
            "bounds": BOUNDS | bounds,
            "platform": {
                "address": store_address,
                "form": "kv",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1048576,
                "ttl_min_ms": 1000,
            },
        }
        self.path.write_text(json.dumps(settings))

    def start(self):
        """Starts the gateway."""
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["SARDINEWHARF_CONFIG"] = str(self.path)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", "sardinewharf.launcher"],
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )

    def signal(self, number):
        """Sends a signal."""
        self.process.send_signal(number)

    def stop(self):
        """Kills the gateway if it runs."""
        if self.process is not None and self.process.poll() is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        """Returns whether the gateway says that it is ready."""
        answer = await send(self.ready, "/-/ready", {"host": "x"}, limit_s=1.0)
        return answer is not None and answer.status == 200

    async def wait_until_ready(self, limit_s=20.0):
        """Waits until the gateway is ready."""
        end = time.monotonic() + limit_s
        while not await self.is_ready():
            if time.monotonic() > end or self.process.poll() is not None:
                raise CannotRunError(f"{self.name} did not become ready")
            await asyncio.sleep(0.1)


class Entry:
    """The platform's entry: forwards new channels to daemons in rotation.

    Each gateway is alone in its zone. A zone whose daemon is out of rotation
    uses those of other zones. If none is in rotation anywhere, the pages don't
    say what becomes of a new channel, and none is made.
    """

    def __init__(self, gateways):
        self._gateways = gateways
        self._misses = dict.fromkeys((g.name for g in gateways), 0)

    async def probe(self):
        """Asks each daemon once a second whether it is ready."""
        while True:
            await asyncio.gather(*(self._ask(g) for g in self._gateways))
            await asyncio.sleep(1)

    async def _ask(self, gateway):
        is_ready = await gateway.is_ready()
        misses = 0 if is_ready else self._misses[gateway.name] + 1
        self._misses[gateway.name] = misses

    def choose(self, index):
        """Returns the daemon for a new channel from a zone; None for none."""
        rotated = self._gateways[index:] + self._gateways[:index]
        for gateway in rotated:
            if self._misses[gateway.name] < 2:
                return gateway
        return None


class CannotRunError(Exception):
    """The case could not run."""
