"""The commands that clients send besides RPCs, and the answers that need no RPC."""

QUERY = b"SVC.QUERY"
SUBMIT = b"SVC.SUBMIT"
RPC_COMMANDS = frozenset({QUERY, SUBMIT})

PING = b"PING"
DRAINING = b"-ERR draining\r\n"
REJECTED = b"-BUSY\r\n"
"""An RPC that is not taken, as this gateway is leaving: another one may take it."""

SIMPLE_ANSWERS = {PING: b"+PONG\r\n", b"CLIENT": b"+OK\r\n", b"SELECT": b"+OK\r\n"}


def error_answer(text: str) -> bytes:
    """Return the answer that tells a client of a fault of its own."""
    return b"-ERR %b\r\n" % text.encode("ascii", "replace")


def answer_to(verb: bytes, *, is_welcoming: bool) -> bytes:
    """Return the answer to a command that is no RPC.

    Args:
        verb: The command's name in upper case.
        is_welcoming: Whether a client that pings is invited to stay.
    """
    if verb == PING and not is_welcoming:
        return DRAINING
    return SIMPLE_ANSWERS.get(verb) or error_answer("unknown command")
