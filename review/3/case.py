"""A request that crashes servers comes again after a herd of restarts."""

import asyncio
import itertools
import os
import pathlib
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from stage import engines as engines_lib  # noqa: E402
from stage import gateways as gateways_lib  # noqa: E402
from stage import http  # noqa: E402
from stage import manifests  # noqa: E402
from stage import store as store_lib  # noqa: E402

_ZONES = ("baires-almagro", "baires-avellaneda", "baires-palermo")
_ENGINES = 6
_CONTACT_S = 3.0
_MAX_RETRIES = 3
# Time between two repeats of the request that crashes servers, and between two
# sound requests.
_REPEAT_S = 5.0
_SOUND_S = 0.25
# From the start of traffic.
_KILL_AT_S = 30.0
_END_AT_S = 72.0
# Time until the platform starts a process again that was killed.
_DOWN_S = 1.0
_BAD_PATH = "/lepu270/bad"
_BAD_PARTS = "5c1e07a2:800,91bd3f06:410,e4402b7d:250"


class Case:
    """Three gateways in front of six model servers.

    Args:
        folder: A temporary folder.
        with_trouble: Whether all gateways are killed at the same moment.
    """

    def __init__(self, folder: pathlib.Path, with_trouble: bool):
        self._with_trouble = with_trouble
        self._host = gateways_lib.choose_network()
        self._store = store_lib.Store()
        self._engines = [
            engines_lib.Engine(
                self._store,
                manifests.ENGINES,
                manifests.MODEL,
                _ZONES[index % 3],
                _BAD_PATH,
            )
            for index in range(_ENGINES)
        ]
        self._folder = folder
        self._gateways: list[gateways_lib.Gateway] = []
        self._lines: list[tuple[float, str]] = []
        self._sound = {"whole": 0, "not whole": 0}
        self._sender: dict[str, gateways_lib.Gateway] = {}
        self._sent_at: dict[str, float] = {}
        # When the gateway that a request was sent to had been started.
        self._up_since: dict[str, float] = {}
        self._start = 0.0

    async def run(self) -> int:
        """Returns the exit code: 1 if the rule was broken, else 0."""
        await self._store.start(f"{self._host}.1")
        expiry = asyncio.ensure_future(self._store.run())
        self._store.put("op/config", manifests.make_manifest())
        self._store.put(
            f"op/version/{manifests.MODEL}",
            {"model": manifests.MODEL, "version": 1},
        )
        for index, engine in enumerate(self._engines):
            await engine.start(f"{self._host}.{100 + index}")
        try:
            for index, zone in enumerate(_ZONES):
                gateway = gateways_lib.Gateway(
                    f"front-{zone}-1",
                    zone,
                    f"{self._host}.{10 + index}",
                    self._store.address,
                    self._folder,
                )
                gateway.start()
                self._gateways.append(gateway)
            for gateway in self._gateways:
                if not await gateway.wait_until_ready():
                    print("a gateway did not get ready")
                    return 2
            await asyncio.sleep(_CONTACT_S + 0.5)
            await self._play()
        finally:
            expiry.cancel()
            gateways_lib.kill_all(self._gateways)
        return self._judge()

    async def _play(self) -> None:
        self._start = time.monotonic()
        jobs = [
            asyncio.ensure_future(self._send_bad()),
            asyncio.ensure_future(self._send_sound()),
        ]
        for gateway in self._gateways:
            jobs.append(asyncio.ensure_future(gateway.check_readiness()))
        if self._with_trouble:
            jobs.append(asyncio.ensure_future(self._restart_all()))
        await asyncio.sleep(_END_AT_S)
        for job in jobs:
            job.cancel()
        await asyncio.gather(*jobs, return_exceptions=True)

    def _record(self, text: str, at: float | None = None) -> None:
        self._lines.append((at or time.monotonic(), text))

    async def _restart_all(self) -> None:
        await asyncio.sleep(_KILL_AT_S)
        gateways_lib.kill_all(self._gateways)
        self._record("all gateways are killed")
        await asyncio.sleep(_DOWN_S)
        for gateway in self._gateways:
            gateway.start()
        self._record("all gateways are started again")

    async def _send_bad(self) -> None:
        """Sends the request again and again, at one gateway after another."""
        for number in itertools.count():
            asyncio.ensure_future(self._send_bad_once(number))  # noqa: RUF006
            await asyncio.sleep(_REPEAT_S)

    async def _send_bad_once(self, number: int) -> None:
        gateway = gateways_lib.choose(self._gateways, number)
        request_id = f"bad{number:013x}"
        self._sender[request_id] = gateway
        self._sent_at[request_id] = time.monotonic()
        self._up_since[request_id] = gateway.started_at
        self._record(f"sent {request_id} to {gateway.name}")
        answer = await http.send(
            gateway.front,
            "POST",
            _BAD_PATH,
            manifests.make_headers(request_id, _BAD_PARTS, 4000),
            b"the same body",
            timeout_s=4.5,
        )
        self._record(f"answered {request_id}: {answer.status}")

    async def _send_sound(self) -> None:
        for number in itertools.count():
            asyncio.ensure_future(self._send_sound_once(number))  # noqa: RUF006
            await asyncio.sleep(_SOUND_S)

    async def _send_sound_once(self, number: int) -> None:
        gateway = gateways_lib.choose(self._gateways, number)
        request_id = f"50{number:014x}"
        self._record(f"sent {request_id} to {gateway.name}")
        answer = await http.send(
            gateway.front,
            "POST",
            f"/xapu221/{number}",
            manifests.make_headers(
                request_id, f"aa{number:06x}:300,bb{number:06x}:90", 3000
            ),
            timeout_s=3.5,
        )
        is_whole = answer.status == 200 and answer.is_complete
        note = "whole" if is_whole else "not whole"
        self._record(f"answered {request_id}: {answer.status}, {note}")
        self._sound["whole" if is_whole else "not whole"] += 1

    def _judge(self) -> int:
        """Counts the retries and writes the record."""
        if not self._sound["whole"]:
            return 2
        crashes = sorted(at for e in self._engines for at in e.crashes)
        arrivals = sorted(
            (at, request_id, engine.address)
            for engine in self._engines
            for at, request_id, path in engine.arrivals
            if path == _BAD_PATH
        )
        for at in crashes:
            self._record("a model server crashes", at)
        counted = 0
        limit = crashes[2] + _CONTACT_S if len(crashes) > 2 else float("inf")
        for at, request_id, address in arrivals:
            in_touch = at - self._up_since[request_id] > _CONTACT_S
            counts = in_touch and self._sent_at[request_id] > limit
            counted += counts
            note = "counts" if counts else "does not count"
            self._record(f"{request_id} reaches {address}, {note}", at)
        is_broken = counted > _MAX_RETRIES
        lines = [
            f"{at - self._start:8.3f} s  {text}"
            for at, text in sorted(self._lines)
        ]
        lines += [
            f"model servers crashed: {len(crashes)}",
            f"sound requests: {self._sound}",
            f"retries that count, later than {_CONTACT_S:.0f} s after the third"
            f" crash: {counted}, at most {_MAX_RETRIES}",
            "BROKEN" if is_broken else "kept",
        ]
        record = pathlib.Path(__file__).with_name("record.txt")
        record.write_text("\n".join(lines) + "\n")
        print("\n".join(lines[-4:]))
        return int(is_broken)


def main() -> None:
    """Runs the case."""
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        with tempfile.TemporaryDirectory() as folder:
            case = Case(pathlib.Path(folder), with_trouble)
            code = asyncio.run(case.run())
    except Exception as error:
        print(f"the case could not run: {error!r}")
        code = 2
    sys.exit(code)


if __name__ == "__main__":
    main()
