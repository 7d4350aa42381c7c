"""Customers' keys, of which only digests are kept."""

from hashlib import blake2b

__all__ = ["key_digest"]

DIGEST_BYTES = 16
"""Enough that two of the keys of any deployment do not have the same."""


def key_digest(key: str) -> str:
    """Return what stands for a customer's key in a configuration.

    Routers tell each other what changes in configurations, over a link that a deployment may leave
    open. From the digest of a key of 20 random characters the key cannot be found.
    """
    return blake2b(key.encode(), digest_size=DIGEST_BYTES).hexdigest()
