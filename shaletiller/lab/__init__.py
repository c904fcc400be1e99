"""The product's own laboratory: fleets of gateways with faults, as real processes or on a virtual clock.

No gateway loads any of it.  `python -m shaletiller.lab --help` lists the commands.

On a virtual clock: `virtual_network` (clock, links), `virtual_gateway` and `virtual_fleet`, `fault_schedules`
(seeded faults and their checks), `limit_usage` (checks of a limit), `fleet_simulation` (many schedules).

With real processes: `gateway_processes`, `faulty_links`, `storage_nodes` and `stand_in_discovery`,
`http_messages`, `load_generator`, all put together by `fleet_testbed`; `scenario` reads the faults,
`fleet_scenarios` and `discovery_scenarios` check `guarantees`, `gateway_benchmark` measures cost.
"""
