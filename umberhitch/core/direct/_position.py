"""Positions in the streams of the store, which mean something only in the epoch they are from.

The store may return from an older copy of itself. It then uses offsets again that it gave out
before, and raises its epoch by one. A position holds both numbers, the epoch first, so that any
position of a later epoch is greater than all of an earlier one, and equal positions name the same
records. The number of changes of a group of members is such a position as well.
"""

__all__ = ["NO_POSITION", "Position", "epoch_of", "make_position", "offset_of", "padding_before"]

Position = int
"""Epoch and offset in one number, which is compared like any other."""
OFFSET_BITS = 48
"""Offsets stay below 2.8e14: 900 years at 10,000 records a second."""
EPOCH_MODULUS = 64
"""So many epochs later, offsets may coincide again; a late call takes effect within seconds."""
NO_POSITION: Position = -1
"""Precedes every position."""


def make_position(epoch: int, offset: int) -> Position:
    """Return the position of an offset in an epoch, which is 0 if the store does not name one."""
    return (epoch << OFFSET_BITS) + offset


def epoch_of(position: Position) -> int:
    """Return the epoch of a position; -1 for `NO_POSITION`."""
    return position >> OFFSET_BITS


def offset_of(position: Position) -> int:
    """Return the offset of a position in its epoch; -1 for `NO_POSITION`."""
    if position == NO_POSITION:
        return -1
    return position - (epoch_of(position) << OFFSET_BITS)


def padding_before(position: Position) -> int:
    """Return how many records without meaning precede one that is appended at a position.

    A conditional append names the offset that the stream must end at, and after the store's return
    from an older copy, the stream may reach that offset again with other records. With the padding,
    each such append ends at an offset that is congruent to the epoch modulo `EPOCH_MODULUS`. An
    offset that was read in one epoch is then no end of an append of another epoch: the condition
    holds only if the stream has the same records. That includes calls that take effect late.
    """
    epoch = epoch_of(position)
    return (epoch - offset_of(position) - 1) % EPOCH_MODULUS if epoch else 0
