"""Every decision of the gateway, free of I/O: events in, actions out.

`controller` is the entry: its `AdmissionController` takes events and returns `actions`, with the
values of `types`. What executes the actions derives from `action_dispatcher`. The concerns behind
the controller, a module each:

- quota: `lease_manager` over `leases`, with `counter_health` and the escrow of `hard_limits`;
- overload: `load_shedding`;
- endpoints: `load_balancing` over `endpoint_list` and `endpoint_index`, with `endpoint_health`
  and `warm_up`;
- what may be sent again: `retries`, with what `outcomes` prove.

Nothing here reads a clock, draws from a generator of its own or does I/O. Each tuned value is a
named constant with its unit. It was chosen for this gateway, for the reasons in `docs/design.md`,
where its comment does not name another source.
"""
