"""A fleet in simulated time, from a seed: the real decisions on hosts, counter, discovery and clients that fail.

`scenario` holds what a run is made of, `draw` makes scenarios from a seed, `fleet` plays one, `hunt` looks through many
for a broken rule and cuts down what it finds, `timeline` prints a run for a person.
"""

VERSION = 1  # a scenario is replayed only on the version that it was written for
