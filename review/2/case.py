"""The cache store sends bytes without end in place of some answers."""

import asyncio
import itertools
import os
import pathlib
import random
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from stage import caches  # noqa: E402
from stage import engines as engines_lib  # noqa: E402
from stage import gateways as gateways_lib  # noqa: E402
from stage import http  # noqa: E402
from stage import manifests  # noqa: E402
from stage import store as store_lib  # noqa: E402

_ZONES = ("ct-porto", "pa-nord", "sr-sud")
_ENGINES = 3
_MEMORY_MB = 150
# The machine's link: 1,000 Mbit/s, of which a little is left unused.
_BYTES_PER_S = 110e6
# One in so many answers is spoiled: 5 in 100.
_SPOILED_EVERY = 20
# Begin and length of each impairment, in seconds from the start of traffic.
_TROUBLES_AT_S = (2.0, 9.0, 16.0, 23.0)
_TROUBLE_S = 5.0
_END_AT_S = 40.0
# Long prompts, as many a second as on the sheet, and the shared parts that
# they have in turn at random.
_SOUND_S = 1 / 11.4
_THINGS = 172
_SHARED_TOKENS = 13_300
_OWN_TOKENS = 3_720
# Time until the platform starts a process again that it has killed.
_DOWN_S = 1.0
_MEMORY_CHECK_S = 0.02
# The rule counts machines on which processes end so often.
_ENDS = 3
_MACHINES = 2


class Case:
    """Three gateways in front of three model servers and a cache store.

    Args:
        folder: A temporary folder.
        with_trouble: Whether the cache store spoils some answers.
    """

    def __init__(self, folder: pathlib.Path, with_trouble: bool):
        self._with_trouble = with_trouble
        self._host = gateways_lib.choose_network()
        self._store = store_lib.Store()
        self._cache = caches.CacheStore(_SPOILED_EVERY, _BYTES_PER_S)
        self._random = random.Random(1)
        self._engines = [
            engines_lib.Engine(
                self._store,
                manifests.ENGINES,
                manifests.MODEL,
                zone,
                cache_store=self._cache,
            )
            for zone in _ZONES
        ]
        self._folder = folder
        self._gateways: list[gateways_lib.Gateway] = []
        self._ends: dict[str, int] = dict.fromkeys(_ZONES, 0)
        self._peak_mb: dict[str, float] = dict.fromkeys(_ZONES, 0.0)
        self._lines: list[str] = []
        self._sound = {"whole": 0, "not whole": 0}
        self._start = 0.0

    async def run(self) -> int:
        """Returns the exit code: 1 if the rule was broken, else 0."""
        await self._store.start(f"{self._host}.1")
        await self._cache.start(f"{self._host}.90")
        jobs = [
            asyncio.ensure_future(self._store.run()),
        ]
        self._store.put(
            "op/config", manifests.make_manifest(self._cache.address)
        )
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
                    _MEMORY_MB,
                )
                gateway.start()
                self._gateways.append(gateway)
            for gateway in self._gateways:
                if not await gateway.wait_until_ready():
                    print("a gateway did not get ready")
                    return 2
            await self._play(jobs)
        finally:
            for job in jobs:
                job.cancel()
            await asyncio.gather(*jobs, return_exceptions=True)
            gateways_lib.kill_all(self._gateways)
        return self._judge()

    async def _play(self, jobs: list[asyncio.Task[None]]) -> None:
        self._start = time.monotonic()
        for gateway, zone in zip(self._gateways, _ZONES, strict=True):
            watch = self._limit_memory(gateway, zone)
            jobs.append(asyncio.ensure_future(watch))
            jobs.append(asyncio.ensure_future(gateway.check_readiness()))
        jobs.append(asyncio.ensure_future(self._send_sound()))
        if self._with_trouble:
            for at in _TROUBLES_AT_S:
                jobs.append(asyncio.ensure_future(self._spoil(at)))
        await asyncio.sleep(_END_AT_S)

    def _record(self, text: str) -> None:
        self._lines.append(f"{time.monotonic() - self._start:8.3f} s  {text}")

    async def _spoil(self, at: float) -> None:
        await asyncio.sleep(at)
        self._record("the cache store spoils 5 in 100 answers")
        self._cache.is_faulty = True
        await asyncio.sleep(_TROUBLE_S)
        self._cache.is_faulty = False
        self._record("the cache store is sound again")

    async def _limit_memory(
        self, gateway: gateways_lib.Gateway, zone: str
    ) -> None:
        """Kills a process over its memory as the platform does."""
        while True:
            await asyncio.sleep(_MEMORY_CHECK_S)
            memory_mb = gateway.read_memory_mb()
            self._peak_mb[zone] = max(self._peak_mb[zone], memory_mb)
            if memory_mb <= _MEMORY_MB:
                continue
            gateway.kill()
            self._ends[zone] += 1
            self._record(
                f"{gateway.name} has {memory_mb:.0f} MB of {_MEMORY_MB}: killed"
            )
            await asyncio.sleep(_DOWN_S)
            gateway.start()

    async def _send_sound(self) -> None:
        for number in itertools.count():
            asyncio.ensure_future(self._send_sound_once(number))  # noqa: RUF006
            await asyncio.sleep(_SOUND_S)

    async def _send_sound_once(self, number: int) -> None:
        gateway = gateways_lib.choose(self._gateways, number)
        request_id = f"50{number:014x}"
        thing = self._random.randrange(_THINGS)
        prompt = (
            f"5c1e{thing:04x}:{_SHARED_TOKENS},bb{number:06x}:{_OWN_TOKENS}"
        )
        self._record(f"sent {request_id} to {gateway.name}")
        answer = await http.send(
            gateway.front,
            "POST",
            f"/lepu270/{number}",
            manifests.make_headers(request_id, prompt, 6000),
            timeout_s=6.5,
        )
        is_whole = answer.status == 200 and answer.is_complete
        note = "whole" if is_whole else "not whole"
        self._record(f"answered {request_id}: {answer.status}, {note}")
        self._sound["whole" if is_whole else "not whole"] += 1

    def _judge(self) -> int:
        """Counts the ends of processes and writes the record."""
        if not self._with_trouble and not self._sound["whole"]:
            return 2
        machines = sum(ends >= _ENDS for ends in self._ends.values())
        is_broken = machines >= _MACHINES
        answers, spoiled = self._cache.answers
        peaks = {zone: round(mb) for zone, mb in self._peak_mb.items()}
        runs = sum(len(engine.arrivals) for engine in self._engines)
        lines = [
            *self._lines,
            f"requests that model servers ran: {runs}",
            f"answers of the cache store: {answers}, spoiled: {spoiled}",
            f"sound requests: {self._sound}",
            f"largest memory in MB: {peaks}",
            f"ends of processes by their memory: {self._ends}",
            f"machines with {_ENDS} or more: {machines}, fewer than"
            f" {_MACHINES} allowed",
            "BROKEN" if is_broken else "kept",
        ]
        record = pathlib.Path(__file__).with_name("record.txt")
        record.write_text("\n".join(lines) + "\n")
        print("\n".join(lines[-6:]))
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
