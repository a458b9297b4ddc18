"""Forwards each claim to the preferred daemon of its shard.

The claims of a shard are forwarded to one preferred daemon, so that one
compare-and-swap commits many of them. The preferred daemon is an optimization
only: a daemon that cannot reach it commits the claim itself, and the
compare-and-swap alone decides which attempt holds a claim.
"""

import abc
import asyncio

import msgspec

from sardinewharf import clocks
from sardinewharf import ids
from sardinewharf import keyvalue
from sardinewharf import tasks
from sardinewharf.claims import committer
from sardinewharf.claims import entries

_FORWARD_TIMEOUT_S = 0.5
_INITIAL_POLL_S = 0.1
_MAX_POLL_S = 1.0
_BACKGROUND_RETRY_S = 600.0
_MAX_PENDING_RETRIES = 10_000
_MAX_INLINE_BYTES = 2048
_ANSWER_PREFIX = "sardinewharf/claims/answers/"


class ClaimForwarder(abc.ABC):
    """Forwards operations to the preferred daemon of a shard."""

    @abc.abstractmethod
    def find_preferred_daemon(self, shard: int) -> ids.DaemonId | None:
        """Returns the preferred daemon of a shard.

        Returns:
            The preferred daemon, or None to commit at this daemon.
        """

    @abc.abstractmethod
    async def forward(
        self,
        preferred_daemon: ids.DaemonId,
        shard: int,
        operation: entries.Operation,
        deadline: clocks.Deadline,
    ) -> entries.ClaimResult | None:
        """Returns the daemon's result; None if none arrived in time."""


class ClaimLedger:
    """Claims, completes and releases idempotency keys.

    Args:
        kv: The platform's key-value service.
        settings: Settings of the committers.
        forwarder: Forwards operations to other daemons; None to commit all
            operations at this daemon.

    Attributes:
        committers: The committer of each shard, by number.
    """

    def __init__(
        self,
        kv: keyvalue.KeyValueStore,
        settings: committer.CommitterSettings,
        forwarder: ClaimForwarder | None = None,
    ):
        self._kv = kv
        self._settings = settings
        self._forwarder = forwarder
        self._tasks = tasks.TaskGroup()
        self._pending_retries = 0
        self.committers = [
            committer.ShardCommitter(kv, shard, settings)
            for shard in range(settings.shards)
        ]

    def start(self) -> None:
        """Starts the committers."""
        for shard, shard_committer in enumerate(self.committers):
            self._tasks.keep_running(shard_committer.run, f"claims-{shard}")

    async def close(self) -> None:
        """Stops the committers."""
        await self._tasks.close()

    async def claim(
        self,
        key: bytes,
        attempt: ids.AttemptId,
        body_digest: bytes,
        deadline: clocks.Deadline,
    ) -> entries.ClaimResult:
        """Claims a key for an attempt."""
        operation = entries.Operation(
            entries.Action.CLAIM,
            key,
            attempt,
            body_digest,
            clocks.read_wall(),
        )
        result = await self.submit(operation, deadline)
        if isinstance(result, entries.ClaimUnknown):
            # The attempt does not send the request without a granted claim,
            # so the claim is released as soon as the service responds again.
            self._start_background_retry(_make_release(operation))
        return result

    async def wait(
        self,
        key: bytes,
        attempt: ids.AttemptId,
        body_digest: bytes,
        deadline: clocks.Deadline,
    ) -> entries.ClaimResult:
        """Claims a key that another attempt holds, once that is settled.

        Repeats the claim with increasing pauses until the other attempt has
        completed or released the key, or the deadline is near.
        """
        poll_interval = _INITIAL_POLL_S
        while True:
            result = await self.claim(key, attempt, body_digest, deadline)
            if not isinstance(result, entries.AlreadyClaimed):
                return result
            if deadline.remaining() <= poll_interval:
                return result
            await asyncio.sleep(poll_interval)
            poll_interval = min(_MAX_POLL_S, poll_interval * 2)

    async def complete(
        self,
        key: bytes,
        attempt: ids.AttemptId,
        body_digest: bytes,
        answer: entries.KeptAnswer,
        deadline: clocks.Deadline,
    ) -> None:
        """Records the response of a completed request.

        If that fails, recording is retried in the background.
        """
        operation = entries.Operation(
            entries.Action.COMPLETE,
            key,
            attempt,
            body_digest,
            clocks.read_wall(),
            answer,
        )
        operation, body = _split_answer(operation)
        if body and not await self._store_answer(key, body, deadline):
            self._start_background_retry(operation, body)
            return
        result = await self.submit(operation, deadline)
        if not isinstance(result, entries.Done):
            self._start_background_retry(operation)

    async def fetch_answer(
        self, key: bytes, answer: entries.KeptAnswer, deadline: clocks.Deadline
    ) -> entries.KeptAnswer | None:
        """Returns the stored response with its body.

        Returns:
            The response, or None if the key-value service did not return it.
        """
        if not answer.has_separate_body:
            return answer
        read = await self._kv.read(_ANSWER_PREFIX + key.hex(), deadline)
        if not isinstance(read, keyvalue.Record):
            return None
        return entries.KeptAnswer(
            answer.status, answer.content_type, read.value
        )

    async def release(
        self,
        key: bytes,
        attempt: ids.AttemptId,
        body_digest: bytes,
        deadline: clocks.Deadline,
    ) -> bool:
        """Releases a claim whose request was not sent.

        Returns:
            Whether the release is recorded. If not, it is retried in the
            background.
        """
        operation = entries.Operation(
            entries.Action.RELEASE,
            key,
            attempt,
            body_digest,
            clocks.read_wall(),
        )
        result = await self.submit(operation, deadline)
        if isinstance(result, entries.Done):
            return True
        self._start_background_retry(operation)
        return False

    async def submit(
        self, operation: entries.Operation, deadline: clocks.Deadline
    ) -> entries.ClaimResult:
        """Forwards an operation to its preferred daemon, or commits it here."""
        shard = self.find_shard(operation.key)
        preferred_daemon = (
            self._forwarder.find_preferred_daemon(shard)
            if self._forwarder
            else None
        )
        if preferred_daemon is not None:
            result = await self._forwarder.forward(
                preferred_daemon,
                shard,
                operation,
                deadline.earlier(clocks.Deadline.after(_FORWARD_TIMEOUT_S)),
            )
            if result is not None:
                return result
        return await self.commit(operation, deadline)

    async def commit(
        self, operation: entries.Operation, deadline: clocks.Deadline
    ) -> entries.ClaimResult:
        """Commits an operation at this daemon."""
        shard = self.find_shard(operation.key)
        return await self.committers[shard].submit(operation, deadline)

    def find_shard(self, key: bytes) -> int:
        """Returns the shard of a key."""
        return int.from_bytes(key[:4], "big") % self._settings.shards

    async def _store_answer(
        self, key: bytes, body: bytes, deadline: clocks.Deadline
    ) -> bool:
        """Stores the body of a response; returns whether it is stored now."""
        written = await self._kv.write(
            _ANSWER_PREFIX + key.hex(),
            body,
            keyvalue.Absent().revision,
            deadline,
        )
        return isinstance(written, keyvalue.Written | keyvalue.Conflict)

    def _start_background_retry(
        self, operation: entries.Operation, body: bytes = b""
    ) -> None:
        """Retries in the background, unless too many retries are pending."""
        if self._pending_retries >= _MAX_PENDING_RETRIES:
            return
        self._pending_retries += 1
        self._tasks.start(
            self._retry_until_deadline(operation, body), "late-record"
        )

    async def _retry_until_deadline(
        self, operation: entries.Operation, body: bytes
    ) -> None:
        """Stores the body, if there is one, and commits the operation."""
        deadline = clocks.Deadline.after(_BACKGROUND_RETRY_S)
        try:
            while body and not deadline.is_past():
                if await self._store_answer(operation.key, body, deadline):
                    break
                await asyncio.sleep(_MAX_POLL_S)
            await self.commit(operation, deadline)
        finally:
            self._pending_retries -= 1


def _split_answer(
    operation: entries.Operation,
) -> tuple[entries.Operation, bytes]:
    """Splits a large body off the operation's response.

    Returns:
        The operation, without the body if that is large, and the large body or
        else an empty one.
    """
    answer = operation.answer
    if len(answer.body) <= _MAX_INLINE_BYTES:
        return operation, b""
    inline = entries.KeptAnswer(answer.status, answer.content_type, b"", True)
    return msgspec.structs.replace(operation, answer=inline), answer.body


def _make_release(claim: entries.Operation) -> entries.Operation:
    return entries.Operation(
        entries.Action.RELEASE,
        claim.key,
        claim.attempt,
        claim.body_digest,
        claim.at,
    )
