"""State of the scheduler: requests, upstreams, volumes, current settings and latency estimates.

This package makes no scheduling decisions; those are in `shaletiller.policy`.
"""
