"""All replies that a gateway gives to its clients, as bytes of RESP.

Which RPC gets which reply is decided elsewhere.
"""

OK = b"+OK\r\n"
PONG = b"+PONG\r\n"
DRAINING = b"-ERR draining\r\n"
"""To a client that pings: it had better go to another gateway."""

BUSY = b"-BUSY\r\n"
"""The RPC was rejected before it had an effect: it may be sent again, to any gateway."""

ABORTED = b"-ERR aborted\r\n"
"""The RPC failed, and may have had its effect."""

FAULT = b"-ERR fault\r\n"
"""The gateway itself failed."""

VALUE_END = b"\r\n"
"""What follows a value, also one that is relayed as it comes."""

PING = b"PING"
_REPLIES_TO_COMMANDS = {PING: PONG, b"CLIENT": OK, b"SELECT": OK}
_ROUND_UP = 0.999  # added before milliseconds are cut to an integer: a client waits no shorter


def error(text: str) -> bytes:
    """Return the reply that tells a client of a fault of its own."""
    return b"-ERR %b\r\n" % text.encode("ascii", "replace")


def busy(retry_after_s: float) -> bytes:
    """Return the reply to a rejected RPC, with the time after which to come back, if any."""
    retry_after_ms = int(retry_after_s * 1e3 + _ROUND_UP)
    return b"-BUSY %d\r\n" % retry_after_ms if retry_after_ms else BUSY


def value_head(length: int) -> bytes:
    """Return what goes before a value of so many bytes; `VALUE_END` goes behind it."""
    return b"$%d\r\n" % length


def reply_to_command(verb: bytes, *, passes_health_check: bool) -> bytes:
    """Return the reply to a command that is no RPC.

    Args:
        verb: The command's name in upper case.
        passes_health_check: Whether a client that pings is invited to stay.
    """
    if verb == PING and not passes_health_check:
        return DRAINING
    return _REPLIES_TO_COMMANDS.get(verb) or error("unknown command")
