"""Every decision of shaletiller: cost-based admission control at a host, after Chen and Verma.

Types, events and actions: `shaletiller.interface`; what is known: `shaletiller.state`.  What is kept of the
paper, what is changed and why: docs/design.md.
"""

from shaletiller.policy.scheduler import Scheduler

__all__ = ["Scheduler"]
