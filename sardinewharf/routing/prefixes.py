"""Splits prompts into prefix blocks, identified by chained hashes.

The id of a block is a hash of the prompt up to the end of the block, and of a
salt of organisation, model or adapter, and weights version. Blocks of
different organisations or weights versions therefore never share an id.

Examples:
    >>> salt = make_salt("almagro", "proof", "w1")
    >>> one = build_block_chain(salt, [b"rules", b"label", b"question 1"])
    >>> two = build_block_chain(salt, [b"rules", b"label", b"question 2"])
    >>> one.blocks[:2] == two.blocks[:2], one.blocks[2] == two.blocks[2]
    (True, False)
    >>> other_salt = make_salt("traversa", "proof", "w1")
    >>> other = build_block_chain(other_salt, [b"rules"])
    >>> other.blocks[0] == one.blocks[0]
    False
"""

from collections.abc import Sequence
import dataclasses

import xxhash

from sardinewharf import ids

BLOCK_TOKENS = 2048
# Average for text; prompts are not tokenized here.
_BYTES_PER_TOKEN = 4
_BLOCK_BYTES = BLOCK_TOKENS * _BYTES_PER_TOKEN


@dataclasses.dataclass(frozen=True, slots=True)
class PrefixBlock:
    """A block of consecutive prompt tokens, the unit of prefix caching.

    Attributes:
        id: Hash of the prompt up to the end of the block.
        tokens: Estimated number of tokens in the block.
    """

    id: ids.BlockId
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class BlockChain:
    """The prefix blocks of a prompt.

    Attributes:
        blocks: The blocks in the order of the prompt.
        shared_count: Number of leading blocks before the last message. Other
            requests are likely to start with the same blocks.
    """

    blocks: tuple[PrefixBlock, ...]
    shared_count: int

    @property
    def tokens(self) -> int:
        """Estimated number of tokens in the prompt."""
        return sum(block.tokens for block in self.blocks)

    @property
    def first_id(self) -> ids.BlockId:
        """Id of the first block, which the most requests have in common."""
        return self.blocks[0].id

    @property
    def last_shared_id(self) -> ids.BlockId:
        """Id of the last shared block, or of the first if none is shared."""
        return self.blocks[max(0, self.shared_count - 1)].id


def make_salt(organisation: str, target: str, weights: str) -> str:
    """Returns the salt that separates the prefix caches.

    Args:
        organisation: The organisation that sends the prompt.
        target: The model or adapter.
        weights: The weights version of the model or adapter.
    """
    text = "\x00".join((organisation, target, weights))
    return xxhash.xxh3_128_hexdigest(text.encode())


def build_block_chain(salt: str, segments: Sequence[bytes]) -> BlockChain:
    """Returns the block chain of a prompt.

    Args:
        salt: Salt from ``make_salt``.
        segments: The prompt's messages. A block never spans two messages.
    """
    digest = bytes.fromhex(salt)
    blocks: list[PrefixBlock] = []
    shared_count = 0
    for segment in segments:
        shared_count = len(blocks)
        for start in range(0, max(1, len(segment)), _BLOCK_BYTES):
            part = segment[start : start + _BLOCK_BYTES]
            digest = xxhash.xxh3_128_digest(digest + part)
            tokens = max(1, len(part) // _BYTES_PER_TOKEN)
            blocks.append(PrefixBlock(ids.BlockId(digest), tokens))
    if len(segments) == 1:
        # A single text has no message boundaries, so that all of it but the
        # last block counts as shared.
        shared_count = len(blocks) - 1
    return BlockChain(tuple(blocks), shared_count)
