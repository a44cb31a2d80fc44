"""An adapter that connects an external simulator to the admission controller by a text protocol.

- `codec`: converts lines of text to batches of events, and replies to text.
- `instance`: one simulated gateway; translates events, actions, ids and units.
- `adapter`: answers batches for all instances of one process.

The names in the protocol are the simulator's. Only this package uses them.
"""
