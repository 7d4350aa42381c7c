"""Limits of the retry times that refusals name."""

__all__ = ["HONORED_SHARE", "MIN_RETRY_AFTER_S", "STARTING_RETRY_AFTER_S"]

MIN_RETRY_AFTER_S = 0.1
"""Shortest retry time that a refusal names."""
STARTING_RETRY_AFTER_S = 0.5
"""Retry time while there is no configuration or no endpoint."""
HONORED_SHARE = 1 / 3
"""Callers honor a retry time up to this share of the time until their deadline."""
