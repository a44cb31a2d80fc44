"""The gateway's decision logic, free of I/O: events in, actions out.

`controller` is the entry point: its `AdmissionController` takes events and returns `actions`, which
refer to the values of `types`. Classes that execute actions derive from `action_dispatcher`. Each
concern behind the controller has its own modules:

- quota: `lease_manager` and `leases`, with `counter_health` and the escrow of `hard_limits`;
- overload: `load_shedding`;
- endpoint selection: `load_balancing`, `endpoint_list` and `endpoint_index`, with `endpoint_health`
  and `warm_up`;
- retries: `retries`, which uses `outcomes` to tell whether an attempt may have run.

No module reads a clock or does I/O, and all random numbers come from the controller's seeded
generator. Each tuned value is a named constant with its unit; `docs/design.md` gives the reasons
for most of the values.
"""
