"""A fleet in simulated time, from a seed: the real decisions among faulty neighbours.

A run promises to be the same to the last digit wherever it has the same scenario; rules are judged
by `petrellane.invariants`, and every choice of a gateway is made by `petrellane.decisions`.

- `scenario`, `scenario_files`: what a run is made of, and the file that holds it.
- `scenario_generation`, `sparse_traffic`: scenarios from a seed.
- `event_queue`, `network`: simulated time and links.
- `gateways`, `gateway_actions`, `controllers`: gateways around an admission controller.
- `endpoints`, `counter`, `discovery`, `clients`, `figures`: everybody else.
- `faults`, `gateway_faults`, `endpoint_faults`, `service_faults`: what goes wrong.
- `fleet`, `retained_state`: one run, from its scenario to its verdict.
- `property_search`, `shrinking`: looks for a broken rule, and reduces what it finds.
- `baselines`, `baseline_controller`, `subsetting_baselines`, `quotas`: other ways to decide, for
  comparison.
- `timeline`, `command`: a run as a person reads it.
"""

VERSION = 1
"""A scenario is replayed only on the version that it was written for."""
