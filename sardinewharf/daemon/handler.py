"""Handles the requests of other daemons."""

import msgspec

from sardinewharf import claims
from sardinewharf import daemons
from sardinewharf.daemon import polling
from sardinewharf.daemons.gen.wire import ttypes


class DaemonHandler(daemons.PeerHandler):
    """Handles gossip, fetches of the configuration, dispatches and claims.

    Args:
        state: State that gossip reads and updates.
        gossip: Makes and merges digests.
        ledger: Commits claims.
        poller: Provides the VM list.
        dispatch_sender: Merges the dispatches of other daemons.
    """

    def __init__(
        self,
        state: daemons.GossipState,
        gossip: daemons.Gossip,
        ledger: claims.ClaimLedger,
        poller: polling.EndpointPoller,
        dispatch_sender: daemons.DispatchSender,
    ):
        self._state = state
        self._gossip = gossip
        self._ledger = ledger
        self._poller = poller
        self._dispatch_sender = dispatch_sender

    async def handle(self, request: ttypes.Request) -> ttypes.Reply:
        """Returns the reply to a request."""
        reply = ttypes.Reply()
        if request.digest is not None:
            reply.digest = self._gossip.make_digest()
            await self._gossip.merge(request.digest)
        if request.fetch is not None:
            reply.configuration = self._make_configuration(request.fetch)
        if request.news is not None:
            self._dispatch_sender.merge(request.news)
        if request.claims is not None:
            reply.claims = await daemons.commit_batch(
                self._ledger, request.claims
            )
        return reply

    def _make_configuration(
        self, fetch: ttypes.FetchConfiguration
    ) -> ttypes.Configuration:
        encoded = daemons.encode_configuration(
            self._state.holder.snapshot, fetch.known
        )
        encoded.vms = msgspec.msgpack.encode(self._poller.latest_vms)
        return encoded
