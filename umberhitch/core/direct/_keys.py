"""Digests of customers' keys, which are stored in place of the keys."""

from hashlib import blake2b

__all__ = ["key_digest"]

DIGEST_BYTES = 16
"""Length at which two keys of a deployment practically never have the same digest."""


def key_digest(key: str) -> str:
    """Return the digest that represents a customer's key in a configuration.

    Routers send each other the changes of configurations over a link that a deployment may leave
    unencrypted. A key of 20 random characters can't be recovered from its digest.
    """
    return blake2b(key.encode(), digest_size=DIGEST_BYTES).hexdigest()
