"""What makes two requests the same, whoever took them and whatever id their callers gave them."""

from xxhash import xxh3_64_hexdigest, xxh3_64_intdigest

from umberhitch.core.direct._types import CallerRequest, Customer

__all__ = ["request_key"]

HEX_DIGITS = 16


def request_key(ask: CallerRequest, customer: Customer | None) -> str:
    """Return what names a request when it comes again: its customer, path and body.

    The first half is the customer's alone. So no customer can make a request that has the key of
    another's, and the keys of one customer can be counted. The second half is no secret and no
    proof: who makes two of their own requests alike has both taken for one. A megabyte takes some
    0.1 ms.
    """
    name = "" if customer is None else customer.name
    target = b" ".join((ask.method, ask.host.lower().encode(), ask.path.encode()))
    if not ask.body:
        target = b" ".join((target, ask.target))  # without a body the query says what is asked
    own = xxh3_64_intdigest(ask.body, seed=xxh3_64_intdigest(target))
    return f"{xxh3_64_hexdigest(name.encode())}{own:0{HEX_DIGITS}x}"
