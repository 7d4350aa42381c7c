"""When callers that are refused are told to come again."""

__all__ = ["HONORED_SHARE", "MIN_RETRY_AFTER_S", "STARTING_RETRY_AFTER_S"]

MIN_RETRY_AFTER_S = 0.1
"""Soonest time to come back that a refusal names."""
STARTING_RETRY_AFTER_S = 0.5
"""Time to come back that is named while there is no configuration, or no endpoint."""
HONORED_SHARE = 1 / 3
"""Callers honour a time to come back up to such a share of the time that they have left."""
