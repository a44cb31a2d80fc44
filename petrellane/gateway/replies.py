"""The RESP encodings of all replies that the gateway sends to clients.

Other modules decide which reply an RPC gets.
"""

OK = b"+OK\r\n"
PONG = b"+PONG\r\n"
DRAINING = b"-ERR draining\r\n"
"""The reply to PING while the gateway drains: the client should use another gateway."""

BUSY = b"-BUSY\r\n"
"""The gateway rejected the RPC before it had an effect: the client may retry it anywhere."""

ABORTED = b"-ERR aborted\r\n"
"""The RPC failed and may have taken effect."""

FAULT = b"-ERR fault\r\n"
"""The gateway failed with an internal error while it handled the RPC."""

VALUE_END = b"\r\n"
"""The terminator of a value, including one that the gateway relays while it arrives."""

PING = b"PING"
_REPLIES_TO_COMMANDS = {PING: PONG, b"CLIENT": OK, b"SELECT": OK}
_ROUND_UP = 0.999  # rounds up to whole milliseconds, so that a client does not retry too early


def error(text: str) -> bytes:
    """Return the error reply to a malformed, unknown or invalid command."""
    return b"-ERR %b\r\n" % text.encode("ascii", "replace")


def busy(retry_after_s: float) -> bytes:
    """Return the reply to a rejected RPC.

    Args:
        retry_after_s: The seconds after which the client may retry; 0 if it may retry immediately.
    """
    retry_after_ms = int(retry_after_s * 1e3 + _ROUND_UP)
    return b"-BUSY %d\r\n" % retry_after_ms if retry_after_ms else BUSY


def value_head(length: int) -> bytes:
    """Return the header of a value of `length` bytes; `VALUE_END` follows the value."""
    return b"$%d\r\n" % length


def reply_to_command(verb: bytes, *, passes_health_check: bool) -> bytes:
    """Return the reply to a command that is not an RPC.

    Args:
        verb: The name of the command, in upper case.
        passes_health_check: Whether PING succeeds, so that the client keeps using this gateway.
    """
    if verb == PING and not passes_health_check:
        return DRAINING
    return _REPLIES_TO_COMMANDS.get(verb) or error("unknown command")
