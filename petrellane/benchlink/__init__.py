"""The simulator's wire in front of the decisions.

- `codec`: lines of the wire to typed batches and back.
- `instance`: one simulated gateway; translates events and actions, ids and units.
- `adapter`: answers batches for all instances of one process.

The names on the wire are the simulator's; they end here.
"""
