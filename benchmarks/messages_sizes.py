"""Sizes of control messages for `messages.py`: the bytes that the program's own writers make."""

import json
import tracemalloc
from typing import Any, NamedTuple

import orjson

from benchmarks.messages_content import (
    HOSTS,
    METHODS,
    PLANS,
    ROSTER_SIZE,
    Settings,
    build_endpoint,
    build_roster,
    build_settings,
)
from benchmarks.messages_figures import FigureTable
from petrellane.config_consensus import (
    ballots,
    canonical_settings,
    message_authentication,
    participant,
    state_store,
)
from petrellane.net import http, resp

KEY = b"0123456789abcdef"
HOST = "10.23.145.67:18800"
SIGNATURE_FIELD = message_authentication.SIGNATURE_FIELD.decode()
SIGNATURE_BYTES = 64
EPOCH = ballots.Epoch(7, "control")
METHOD_COUNTS = (40, 400, METHODS)
ROSTER_SIZES = (12, 300, ROSTER_SIZE)
LIST_INDEX = 123456


class Samples(NamedTuple):
    """Content at the design sizes, which the measured steps take as well."""

    settings: Settings
    generation: ballots.Generation
    endpoint_list: bytes


def response_bytes(body: bytes, is_signed: bool = True) -> int:
    """Return the bytes of an HTTP answer as the management listener and discovery write it."""
    head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n" % len(
        body
    )
    signature = len(SIGNATURE_FIELD) + 2 + SIGNATURE_BYTES + 2 if is_signed else 0
    return len(head) + signature + 2 + len(body)


def request_bytes(message: dict[str, Any]) -> int:
    """Return the bytes of a signed HTTP request."""
    body, signature = message_authentication.sign_request(KEY, message)
    path = message_authentication.PARTICIPANT_PATH.decode()
    return len(http.encode_post(path, HOST, {SIGNATURE_FIELD: signature.decode()}, body))


def memory_mb(body: bytes) -> float:
    """Return the megabytes (10^6 bytes) that a JSON value takes once it is read."""
    tracemalloc.start()
    value = orjson.loads(body)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return size / 1e6 if value else 0.0


def build_generation(settings: Settings, roster_size: int) -> ballots.Generation:
    """Return a generation of these settings with a roster of this size."""
    return ballots.Generation(
        ballots.Ballot(12345, EPOCH),
        canonical_settings.digest(settings),
        settings,
        build_roster(roster_size),
    )


def measure_settings(figures: FigureTable, settings: Settings) -> None:
    """Measure settings, and a change of one row of them."""
    for methods in METHOD_COUNTS:
        size = len(canonical_settings.canonical_bytes(build_settings(methods)))
        what = f"settings of {methods} methods and {PLANS} plans, canonical"
        figures.add_bytes(f"settings_bytes_{methods}", size, what)
    changed_row = canonical_settings.canonical_bytes({"classes": settings["classes"][:1]})
    delta = {
        "do": "prepare",
        "to": "gateway-1-0100",
        "base": {"number": 7, "epoch": list(EPOCH)},
        "rows": json.loads(changed_row),
        "epoch_of": list(EPOCH),
        "order": 1234567,
        "digest": canonical_settings.digest(settings),
    }
    figures.add_bytes(
        "delta_bytes",
        request_bytes(delta),
        "one changed row with the digests of before and after, as a question "
        "(not built: made up in this form)",
    )


def measure_states(figures: FigureTable, settings: Settings) -> participant.ParticipantState:
    """Measure a participant's report by roster size; return the state with the largest roster."""
    for size in ROSTER_SIZES:
        state = participant.ParticipantState(build_generation(settings, size), EPOCH)
        figures.add_bytes(
            f"state_bytes_{size}",
            response_bytes(orjson.dumps(state.to_dict())),
            f"what a gateway answers to a look, prepare or commit, {size} members",
        )
    digest_alone = state.to_dict() | {"members": state.in_force.digest}
    figures.add_bytes(
        "state_bytes_digest",
        response_bytes(orjson.dumps(digest_alone)),
        "the same with a digest in place of the members' names (not built)",
    )
    return state


def measure_requests(figures: FigureTable, generation: ballots.Generation) -> None:
    """Measure the requests of one change."""
    order = {"to": "gateway-1-0100", "epoch_of": list(EPOCH), "order": 1234567}
    look = {"do": "promise"} | order
    prepare = {"do": "prepare", "base": {"number": 12344, "epoch": list(EPOCH)}}
    prepare |= generation.to_dict() | order
    commit = {"do": "commit"} | generation.identity_to_dict() | order
    commit_with_content = {"do": "commit"} | generation.to_dict() | order
    figures.add_bytes("look_bytes", request_bytes(look), "a look (promise), as a question")
    figures.add_bytes(
        "prepare_bytes",
        request_bytes(prepare),
        f"prepare, with {METHODS} methods and {ROSTER_SIZE} members, as a question",
    )
    figures.add_bytes(
        "commit_bytes", request_bytes(commit), "commit to one that prepared, as a question"
    )
    figures.add_bytes(
        "content_bytes",
        request_bytes(commit_with_content),
        "commit to one that did not, whole, as a question",
    )


def measure_storage(figures: FigureTable, state: participant.ParticipantState) -> None:
    """Measure what is written to disks, and the memory of settings."""
    generation = state.in_force
    record = {"kind": "proposed", "generation": generation.to_dict(), "by": "staff"}
    figures.add_bytes(
        "record_bytes",
        len(orjson.dumps(record)),
        "a proposal in the journal of a control process",
    )
    in_doubt = state._replace(prepared=(generation,))
    figures.add_bytes(
        "remember_bytes",
        len(orjson.dumps(state_store.encode_state(in_doubt))),
        "what a gateway writes to its disk while in doubt",
    )
    size = memory_mb(orjson.dumps(generation.content))
    figures.add("settings_mb", size, "MB", f"memory of settings of {METHODS} methods, read")


def encode_endpoint_list(endpoints: list[dict[str, Any]], is_snapshot: bool) -> bytes:
    """Return the body of an endpoint list or of its changes."""
    body = {"index": LIST_INDEX, "snapshot": is_snapshot, "endpoints": endpoints}
    return orjson.dumps(body)


def measure_discovery(figures: FigureTable) -> bytes:
    """Measure the messages of discovery; return the body of the complete endpoint list."""
    endpoint_list = encode_endpoint_list([build_endpoint(number) for number in range(HOSTS)], True)
    size = response_bytes(endpoint_list, is_signed=False)
    figures.add_bytes("list_bytes", size, f"a whole list of {HOSTS:,} hosts")
    row = build_endpoint(12_345)
    figures.add_bytes("list_row_bytes", len(orjson.dumps(row)) + 1, "one row of a list")
    size = response_bytes(encode_endpoint_list([row], False), is_signed=False)
    figures.add_bytes("news_bytes", size, "a watch's answer with one change")
    size = response_bytes(encode_endpoint_list([], False), is_signed=False)
    figures.add_bytes("no_news_bytes", size, "a watch's answer without any")
    watch = http.encode_get("/registry/instances?from=123456&hold_ms=3456", HOST)
    figures.add_bytes("watch_bytes", len(watch), "a watch, as a question")
    return endpoint_list


def measure_counter(figures: FigureTable) -> None:
    """Measure the messages of the counter."""
    add = resp.encode_command(b"CNT.ADD", b"%d" % 1234567890123456789, b"12", b"20000")
    figures.add_bytes("add_bytes", len(add), "an add on the counter, as a question")
    total = b"$5\r\n12345\r\n"
    figures.add_bytes("total_bytes", len(total), "its answer, with a total of five digits")


def measure_sizes(figures: FigureTable) -> Samples:
    """Measure all sizes; return the content of the largest messages."""
    settings = build_settings(METHODS)
    measure_settings(figures, settings)
    state = measure_states(figures, settings)
    measure_requests(figures, state.in_force)
    measure_storage(figures, state)
    endpoint_list = measure_discovery(figures)
    measure_counter(figures)
    return Samples(settings, state.in_force, endpoint_list)
