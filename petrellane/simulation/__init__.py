"""A deterministic discrete-event simulation of a fleet of gateways under faults.

The simulated gateways run the production code of `petrellane.decisions`, and
`petrellane.invariants` checks the rules. Runs of the same scenario produce identical decisions,
figures and verdicts.

- `scenario`, `scenario_files`: the scenario of a run and its file format.
- `scenario_generation`, `sparse_traffic`: the generation of scenarios from a seed.
- `event_queue`, `network`: simulated time and network links.
- `gateways`, `gateway_actions`, `controllers`: the gateways and the interface of their controllers.
- `endpoints`, `counter`, `discovery`, `clients`, `figures`: the other components of the fleet and
  the figures of its service.
- `faults`, `fault_handlers`, `gateway_faults`, `endpoint_faults`, `service_faults`: the faults.
- `fleet`, `retained_state`: a run from its scenario to its verdict, and the detection of leaks.
- `property_search`, `shrinking`: the search for violations of rules and the shrinking of scenarios.
- `baselines`, `baseline_controller`, `subsetting_baselines`, `quotas`: alternative policies for
  comparison.
- `timeline`, `command`: the timeline of a run and the command line.
"""

VERSION = 1
"""The version of the simulation; it replays only scenarios of the same version."""
