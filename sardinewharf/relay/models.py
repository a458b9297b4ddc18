"""Relays model requests to engines."""

from sardinewharf.relay import access
from sardinewharf.relay import openers
from sardinewharf.relay import requests
from sardinewharf.relay import streams


class ModelRelay(access.EngineAccess):
    """Chooses an engine for each model request and relays its stream."""

    async def open(
        self, request: requests.ModelRequest
    ) -> streams.RelayedStream:
        """Returns the stream of a request once its response has begun.

        Raises:
            RequestError: If no engine responds.
        """
        self.budget.earn()
        opener = openers.EngineOpener(self, request)
        stream = await opener.open("", 0, None)
        return streams.RelayedStream(request, opener, stream)
