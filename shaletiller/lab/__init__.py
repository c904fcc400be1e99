"""The laboratory: runs fleets of gateways with faults, on real processes or on a virtual clock.

Gateways import nothing of it.  `python -m shaletiller.lab --help` lists the commands.
"""
