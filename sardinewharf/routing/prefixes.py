"""Names the prefixes of prompts by chained hashes.

Each piece's name covers everything before it, down to a salt of organisation,
model or adapter, and weights version. Pieces of another organisation or of
older weights therefore never have the same name.

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
# A token is about four bytes of text.
_BYTES_PER_TOKEN = 4
_BLOCK_BYTES = BLOCK_TOKENS * _BYTES_PER_TOKEN


@dataclasses.dataclass(frozen=True, slots=True)
class PrefixBlock:
    """A piece of a prompt.

    Attributes:
        id: Hash of the prompt up to the end of the piece.
        tokens: Estimated number of tokens in the piece.
    """

    id: ids.BlockId
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class BlockChain:
    """The pieces of a prompt.

    Attributes:
        blocks: In the order of the prompt.
        shared_count: Number of leading pieces before the last message, which is
            the part that other requests are likely to open with.
    """

    blocks: tuple[PrefixBlock, ...]
    shared_count: int

    @property
    def tokens(self) -> int:
        """Estimated number of tokens in the prompt."""
        return sum(block.tokens for block in self.blocks)

    @property
    def first_id(self) -> ids.BlockId:
        """Name of the first piece, which the widest group shares."""
        return self.blocks[0].id

    @property
    def last_shared_id(self) -> ids.BlockId:
        """Name of the last shared piece."""
        return self.blocks[max(0, self.shared_count - 1)].id


def make_salt(organisation: str, target: str, weights: str) -> str:
    """Returns the salt that parts caches.

    Args:
        organisation: The organisation.
        target: The model or adapter.
        weights: Its weights version.
    """
    text = "\x00".join((organisation, target, weights))
    return xxhash.xxh3_128_hexdigest(text.encode())


def build_block_chain(salt: str, segments: Sequence[bytes]) -> BlockChain:
    """Returns the chain of a prompt.

    Args:
        salt: Salt from ``make_salt``.
        segments: The prompt's messages; a piece never spans two of them.
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
        # A single text has no message borders; only its tail is its own.
        shared_count = len(blocks) - 1
    return BlockChain(tuple(blocks), shared_count)
