"""Tests how long the store is asked to keep a watch waiting."""

import urllib.parse

from sardinewharf import clocks
from sardinewharf import platform
from sardinewharf.testbed import late_answers


class FixedDeadline(clocks.Deadline):
    """A deadline from which the same time is left however late it is."""

    def remaining(self):
        return 0.9995


async def test_a_watch_is_not_asked_to_end_before_its_time():
    """A watch that ended early confirmed a replica only up to its start.

    The wait was rounded down to whole milliseconds. The next watch was then
    short, and the store was called more often on a calm day.
    """
    waits_ms = []

    def respond(call):
        query = urllib.parse.urlsplit(call.target).query
        waits_ms.append(int(urllib.parse.parse_qs(query)["wait_ms"][0]))
        body = {"events": [], "store_revision": 9}
        return late_answers.make_answer(200, body)

    server = late_answers.RepeatingServer(respond)
    await server.start()
    client = platform.StoreClient(server.address)
    until = FixedDeadline(clocks.Deadline.after(1.0).at)
    await client.watch_prefix("", 3, until)
    await client.close()
    server.stop()
    assert waits_ms == [1000]
