"""Fault injection tests and benchmarks for fleets of gateways.

Fleets run as real processes, or as a simulation on a virtual clock.  No gateway imports any of these modules.
`python -m shaletiller.lab --help` lists the commands.

On a virtual clock: `virtual_network` (clock, links), `virtual_gateway` and `virtual_fleet`, `fault_schedules`
(seeded faults and their checks), `limit_usage` (checks of a limit), `fleet_simulation` (many schedules).

With real processes: `gateway_processes`, `faulty_links`, `storage_nodes`, `stand_in_discovery`,
`http_messages` and `load_generator`, which `fleet_testbed` combines; `scenario` reads the faults,
`fleet_scenarios` and `discovery_scenarios` check `guarantees`, `gateway_benchmark` measures cost.
"""
