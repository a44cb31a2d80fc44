"""Rates, bytes and processor time of the program's own steps at the planned size.

Which messages a change takes and what a gateway does with each is written here; the sizes of the
messages and the time of a step come from the measurements.
"""

from petrellane.config_consensus.notifications import POLL_INTERVAL_S
from petrellane.decisions.endpoint_health import SAMPLE_LIFETIME
from petrellane.decisions.leases import HEADROOM, LEASE_AHEAD, WINDOW_FILLS
from petrellane.decisions.load_balancing import SAMPLES_PER_ENDPOINT, SUBSET_MINIMUM
from petrellane.net.limits import Limits
from petrellane.operation.backoff import STEADY_DRAW_MINIMUM
from petrellane.testbed.capacity.figures import DAY_S, MS_PER_S, Figure
from petrellane.testbed.capacity.measurements import Measurements

COMPLETE_ANSWER = "state_bytes_1200"  # a participant's answer that names the roster
DIGEST_ANSWER = "state_bytes_digest"  # one that names the roster by a digest


def rpcs_per_gateway(inputs: Measurements) -> Figure:
    """Return the RPCs a second at one gateway."""
    return inputs.size("rpcs") / inputs.size("gateways")


def settings_changes_per_second(inputs: Measurements) -> Figure:
    """Return the changes of settings a second, the mean of a day."""
    return inputs.size("changes") / DAY_S


def list_changes_per_second(inputs: Measurements) -> Figure:
    """Return the changes of the endpoint list a second, the mean of a day.

    They come from machines that are hosts, each with its rows.
    """
    machines = inputs.size("hosts") + inputs.size("gateways")
    return (
        (inputs.size("replaced") + inputs.size("failed"))
        * (inputs.size("hosts") / machines)
        * inputs.estimate("rows")
        / DAY_S
    )


def idle_watch_calls_per_second() -> Figure:
    """Return the watch calls a second of one gateway while the list does not change.

    The length of each call is drawn from STEADY_DRAW_MINIMUM of the longest to the longest.
    """
    return Figure(2 / ((1 + STEADY_DRAW_MINIMUM) * Limits.max_watch_hold), ("backoff.py",))


def settings_change_bytes(inputs: Measurements) -> Figure:
    """Return the bytes of one change at one gateway: prepare, commit, and an answer to each."""
    return (
        inputs.message("prepare_bytes")
        + inputs.message("commit_bytes")
        + inputs.message(COMPLETE_ANSWER) * 2
    )


def settings_delta_bytes(inputs: Measurements) -> Figure:
    """Return the bytes of one change where a changed row and digests are sent (not built)."""
    return (
        inputs.message("delta_bytes")
        + inputs.message("commit_bytes")
        + inputs.message(DIGEST_ANSWER) * 2
    )


def stored_bytes_per_change(inputs: Measurements) -> Figure:
    """Return what one change writes to a gateway's disk.

    Two generations are stored once it is prepared, and one once it is in force.
    """
    return inputs.message("remember_bytes") + inputs.message("remember_bytes") / 2


def poll_bytes_per_second(inputs: Measurements, answer: str = COMPLETE_ANSWER) -> Figure:
    """Return the bytes a second of one control process's polls at one gateway."""
    return (inputs.message("look_bytes") + inputs.message(answer)) / POLL_INTERVAL_S


def idle_watch_bytes_per_second(inputs: Measurements) -> Figure:
    """Return the bytes a second of one gateway's watch while the list does not change."""
    return (
        inputs.message("watch_bytes") + inputs.message("no_news_bytes")
    ) * idle_watch_calls_per_second()


def list_change_bytes_per_second(inputs: Measurements) -> Figure:
    """Return the bytes a second of the endpoint list's changes at one gateway."""
    return (inputs.message("watch_bytes") + inputs.message("news_bytes")) * list_changes_per_second(
        inputs
    )


def counter_add_bytes_per_second(inputs: Measurements) -> Figure:
    """Return the bytes a second of one gateway's counter adds, at one add an RPC."""
    return (inputs.message("add_bytes") + inputs.message("total_bytes")) * rpcs_per_gateway(inputs)


def settings_change_ms(inputs: Measurements) -> Figure:
    """Return a gateway's processor time for one change.

    It verifies and checks the prepare, reads the settings to validate them, makes and reads those
    that hold while in doubt, reads the settings once more when in force, and stores two states.
    """
    return (
        inputs.message("prepare_ms")
        + inputs.message("seal_prepare_ms")
        + inputs.message("meet_ms")
        + settings_read_ms(inputs) * 3
        + inputs.message("remember_ms") * 2
    )


def settings_read_ms(inputs: Measurements) -> Figure:
    """Return a gateway's processor time to read the settings once."""
    return inputs.figure_at("methods", "settings_read_ms", inputs.size_value("methods"))


def list_change_ms(inputs: Measurements) -> Figure:
    """Return a gateway's processor time to apply one change of the endpoint list."""
    return inputs.figure_at("hosts", "list_change_ms", inputs.size_value("hosts"))


def subset_size(inputs: Measurements) -> Figure:
    """Return the endpoints in a gateway's subset: as many as its attempts keep known."""
    known = rpcs_per_gateway(inputs) * SAMPLE_LIFETIME / SAMPLES_PER_ENDPOINT
    return known.with_minimum(SUBSET_MINIMUM)


def counter_adds_per_rpc(inputs: Measurements, gateway_count: Figure | float) -> Figure:
    """Return the counter adds an RPC where a customer comes to so many gateways.

    A lease covers a part of a window's demand, with headroom, and one RPC at least; all customers
    are taken to send alike.
    """
    rate = inputs.size("rpcs") / inputs.size("customers") / gateway_count
    demand = rate * inputs.estimate("window_s")
    granted = demand * (WINDOW_FILLS * LEASE_AHEAD * HEADROOM)
    return Figure(1.0) / granted.with_minimum(1.0)


def coordinator_change_seconds(inputs: Measurements, participants: str) -> Figure:
    """Return the coordinator's processor time in its rules for one change.

    Args:
        inputs: The measurements.
        participants: The number of participants, as the names of the figures have it.
    """
    return inputs.message(f"leader_change_ms_{participants}") / MS_PER_S


def count_text(count: Figure) -> str:
    """Return a count as the names of figures have it."""
    return "none" if count.value is None else f"{count.value:.0f}"
