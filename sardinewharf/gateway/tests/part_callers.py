"""Callers whose prompts share parts, one of which may crash the engines."""

import asyncio
import collections
import dataclasses
import itertools
import random

from sardinewharf import clocks
from sardinewharf.gateway.tests import crashes

# Crashes of a part after which its further arrivals are counted.
MAX_CRASHES = 5
# Requests with a part that crashes engines, a second.
_BAD_RATE = 5.0
# Callers of sound requests, and the pause of each between two.
_SOUND_CALLERS = 8
_SOUND_PAUSE_S = 0.1
# Sound parts that several callers use.
_SHARED_PARTS = 4


@dataclasses.dataclass(frozen=True)
class SoundRequest:
    """A request that crashes nothing.

    Attributes:
        at: When it was sent, on the monotonic clock.
        is_served: Whether its response was complete.
        status: The status; 0 for none.
    """

    at: float
    is_served: bool
    status: int


class PartCallers:
    """Sends requests with bad parts, and sound ones beside them.

    Sound requests have the key of the bad ones, their first part, and another
    part that may be shared. No two requests are alike.

    Args:
        harness: The harness.
        servers: The servers that bad parts crash.
        path: Path of all requests.
        place: Index of the bad part in the prompt.

    Attributes:
        sound: The sound requests.
    """

    def __init__(self, harness, servers, path="/ask/1", place=1):
        self._harness = harness
        self._servers = servers
        self._path = path
        self._place = place
        self._random = random.Random(f"{path} {place}")
        self._numbers = itertools.count(1)
        self._tasks = set()
        self.sound = []

    async def run(self, parts, seconds, rate=_BAD_RATE):
        """Sends requests for some seconds, and waits for their end.

        Args:
            parts: Ids of the bad parts; none for sound requests alone.
            seconds: The time.
            rate: Requests a second with each of the parts.
        """
        end = clocks.Deadline.after(seconds)
        callers = [self._send_sound(end) for _ in range(_SOUND_CALLERS)]
        callers += [self._send_bad(part, end, rate) for part in parts]
        await asyncio.gather(*callers)
        await asyncio.gather(*self._tasks)

    def count_served_share(self, start, end):
        """Returns the share of the sound requests of a time that were served.

        Args:
            start: Start of the time, on the monotonic clock.
            end: Its end.
        """
        sent = [row for row in self.sound if start <= row.at < end]
        return sum(row.is_served for row in sent) / max(1, len(sent))

    def count_refused(self):
        """Returns how many sound requests were answered with each status."""
        return collections.Counter(
            row.status for row in self.sound if not row.is_served
        )

    async def _send_bad(self, part, end, rate):
        while not end.is_past():
            sending = asyncio.ensure_future(self._send(part))
            self._tasks.add(sending)
            sending.add_done_callback(self._tasks.discard)
            await asyncio.sleep(self._random.uniform(0.5, 1.5) / rate)

    async def _send_sound(self, end):
        while not end.is_past():
            at = clocks.read_monotonic()
            is_shared = self._random.random() < 0.5
            part = f"f{next(self._numbers)}"
            if is_shared:
                part = f"s{self._random.randrange(_SHARED_PARTS)}"
            response = await self._send(part)
            # A response without framing is served if its last event came.
            is_served = response.status == 200 and response.is_complete
            self.sound.append(SoundRequest(at, is_served, response.status))
            await asyncio.sleep(self._random.uniform(0.5, 1.5) * _SOUND_PAUSE_S)

    async def _send(self, part):
        number = next(self._numbers)
        parts = ["aa:1000", f"f{number}:200", f"e{number}:100"]
        parts.insert(self._place, f"{part}:600")
        return await self._harness.send_request(
            self._path,
            body=b"body %d" % number,
            gateway=self._random.randrange(len(self._harness.gateways)),
            x_sardinewharf_prompt_prefix=",".join(parts),
        )


def find_known_at(servers, part):
    """Returns when all gateways must know that a part crashes engines.

    It is counted from its fifth crash, or the last if there were fewer.
    """
    times = servers.crashes[part][:MAX_CRASHES]
    return times[-1] + crashes.CONTACT_MS / 1000
