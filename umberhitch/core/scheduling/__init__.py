"""Who goes first: one scheduler for the agents' queue and for the direct path.

Nothing here uses a socket or a clock.
"""

from umberhitch.core.scheduling._claim import Claim
from umberhitch.core.scheduling._customer_use import CustomerUse, fade
from umberhitch.core.scheduling._fair_queue import FairQueue, Ticket
from umberhitch.core.scheduling._shares import CustomerShares

__all__ = ["Claim", "CustomerShares", "CustomerUse", "FairQueue", "Ticket", "fade"]
