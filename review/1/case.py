"""A tenant is isolated while prompts that it made are still cached."""

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
_APPLY_S = 2.0
_REQUEST_INTERVAL_S = 0.2
# From the start of traffic.
_CHANGE_AT_S = 8.0
_END_AT_S = 24.0
_SHARED_PARTS = 8


class Case:
    """Three gateways in front of three model servers, and two tenants.

    Args:
        folder: A temporary folder.
        with_trouble: Whether the manifest changes.
    """

    def __init__(self, folder: pathlib.Path, with_trouble: bool):
        self._with_trouble = with_trouble
        self._host = gateways_lib.choose_network()
        self._store = store_lib.Store()
        self._engines = [
            engines_lib.Engine(
                self._store, manifests.ENGINES, manifests.MODEL, zone
            )
            for zone in _ZONES
        ]
        self._folder = folder
        self._gateways: list[gateways_lib.Gateway] = []
        self._answers = {"whole": 0, "not whole": 0}
        self._lines: list[tuple[float, str]] = []
        self._sent_at: dict[str, float] = {}
        self._start = 0.0
        self._isolated_at = float("inf")

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
            await self._play()
        finally:
            expiry.cancel()
            gateways_lib.kill_all(self._gateways)
        return self._judge()

    async def _play(self) -> None:
        self._start = time.monotonic()
        jobs = [asyncio.ensure_future(self._send_requests())]
        for gateway in self._gateways:
            jobs.append(asyncio.ensure_future(gateway.check_readiness()))
        if self._with_trouble:
            jobs.append(asyncio.ensure_future(self._isolate()))
        await asyncio.sleep(_END_AT_S)
        for job in jobs:
            job.cancel()
        await asyncio.gather(*jobs, return_exceptions=True)

    def _record(self, text: str, at: float | None = None) -> None:
        self._lines.append((at or time.monotonic(), text))

    async def _isolate(self) -> None:
        await asyncio.sleep(_CHANGE_AT_S)
        self._store.put(
            "op/config", manifests.make_manifest(version=9, is_isolated=True)
        )
        self._isolated_at = time.monotonic()

    async def _send_requests(self) -> None:
        """Sends requests of both tenants that share their first part.

        The first tenant makes them until the change, the other one after it;
        without the change they do the same.
        """
        for number in itertools.count():
            age_s = time.monotonic() - self._start
            is_first = age_s < _CHANGE_AT_S
            key = manifests.KEY if is_first else manifests.OTHER_KEY
            asyncio.ensure_future(self._send_once(number, key))  # noqa: RUF006
            await asyncio.sleep(_REQUEST_INTERVAL_S)

    async def _send_once(self, number: int, key: str) -> None:
        gateway = gateways_lib.choose(self._gateways, number)
        shared = f"5c1e{number % _SHARED_PARTS:04x}:800"
        request_id = f"50{number:014x}"
        self._sent_at[request_id] = time.monotonic()
        self._record(f"sent {request_id} to {gateway.name}")
        answer = await http.send(
            gateway.front,
            "POST",
            f"/xapu221/{number}",
            manifests.make_headers(
                request_id, f"{shared},bb{number:06x}:90", 3000, key
            ),
            timeout_s=3.5,
        )
        self._record(f"answered {request_id}: {answer.status}")
        is_whole = answer.status == 200 and answer.is_complete
        self._answers["whole" if is_whole else "not whole"] += 1

    def _judge(self) -> int:
        """Counts the uses across the wall and writes the record."""
        if not self._answers["whole"]:
            return 2
        uses = sorted(use for e in self._engines for use in e.uses)
        broken = 0
        for engine in self._engines:
            for at, request_id, _ in engine.arrivals:
                self._record(f"{engine.id} runs {request_id}", at)
        for at, request_id, part, maker, user in uses:
            sent_at = self._sent_at[request_id]
            is_isolated = sent_at > self._isolated_at + _APPLY_S
            broken += is_isolated
            self._record(
                f"{request_id} of {user} uses part {part} that a request of"
                f" {maker} made, {'one of them is' if is_isolated else 'not'}"
                " isolated",
                at,
            )
        lines = [
            f"{at - self._start:8.3f} s  {text}"
            for at, text in sorted(self._lines)
        ]
        lines += [
            f"{manifests.TENANT} is isolated from"
            f" {self._isolated_at - self._start:.3f} s on",
            f"answers: {self._answers}",
            f"uses by another tenant: {len(uses)}, later than {_APPLY_S:.0f} s"
            f" after one of the two was isolated: {broken}",
            "BROKEN" if broken else "kept",
        ]
        record = pathlib.Path(__file__).with_name("record.txt")
        record.write_text("\n".join(lines) + "\n")
        print("\n".join(lines[-4:]))
        return int(bool(broken))


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
