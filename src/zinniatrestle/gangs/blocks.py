"""Aligned blocks of adjacent accelerators within one worker, as bit masks."""

from functools import lru_cache

from zinniatrestle.configuration.messages import Cell

CELL_ACCELERATORS = {
    Cell.ACCELERATOR: 1,
    Cell.PAIR: 2,
    Cell.HALF: 4,
    Cell.WORKER: 8,
}
MAX_CACHE_ENTRIES = 65536


@lru_cache
def block_size(accelerators: int) -> int:
    """Return the smallest power of two not below a number of accelerators."""
    return 1 << max(0, accelerators - 1).bit_length()


def full_mask(accelerators: int) -> int:
    """Return the mask of the lowest `accelerators` bits."""
    return (1 << accelerators) - 1


def mask_of(indices: list[int]) -> int:
    """Return the mask of accelerator indices."""
    mask = 0
    for index in indices:
        mask |= 1 << index
    return mask


def indices_of(mask: int) -> list[int]:
    """Return the accelerator indices of a mask."""
    return [index for index in range(mask.bit_length()) if mask >> index & 1]


@lru_cache(MAX_CACHE_ENTRIES)
def free_blocks(free: int, size: int) -> tuple[int, ...]:
    """Return the masks of the free blocks of a size, aligned to that size."""
    blocks = []
    block = full_mask(size)
    for start in range(0, free.bit_length(), size):
        mask = block << start
        if free & mask == mask:
            blocks.append(mask)
    return tuple(blocks)


@lru_cache(MAX_CACHE_ENTRIES)
def take_blocks(free: int, accelerators: int, count: int) -> int | None:
    """Return a mask of `count` aligned runs of accelerators, or None if too few fit.

    Runs come from the smallest enclosing free blocks, which keeps large blocks whole.
    """
    size = block_size(accelerators)
    taken = 0
    for _ in range(count):
        blocks = free_blocks(free & ~taken, size)
        if not blocks:
            return None
        chosen = min(
            blocks, key=lambda mask: _enclosing_free_block(free & ~taken, mask, size)
        )
        lowest = chosen & -chosen
        taken |= full_mask(accelerators) * lowest
    return taken


def _enclosing_free_block(free: int, mask: int, size: int) -> int:
    """Return the size of the largest free aligned block that encloses a block."""
    start = mask.bit_length() - size
    largest = size
    while True:
        larger = largest * 2
        enclosing = full_mask(larger) << (start // larger * larger)
        if free & enclosing != enclosing:
            return largest
        largest = larger
