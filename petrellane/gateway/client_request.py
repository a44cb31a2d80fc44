"""What the client side and the host side share: one RPC, and the answer that it gets."""

import re

PIECES = re.compile(rb"(?:^|,)d=(\d+)(?=,|$)")
CUSTOMER = re.compile(rb"0{7}[01][0-9a-fA-F]{8}")


class BadField(Exception):
    """A command that is well formed and says what it must not."""


class Reply:
    """A place in the order of a connection's answers; `answer` is its buffers once they are known."""

    __slots__ = ("answer", "passage")

    def __init__(self, *answer):
        self.answer, self.passage = (
            answer or None,
            None,
        )  # a long value follows its answer through a passage


class Exchange(Reply):
    """One RPC as its client worded it. The client side makes it, hands it over and hears of its answer; the
    host side writes it out again, with the time that is left in place of the client's."""

    __slots__ = (
        "query",
        "customer",
        "id",
        "named",
        "head",
        "before",
        "after",
        "tail",
        "patience",
        "answered",
        "gone",
        "rpc",
    )

    def __init__(self, query, buffer, start, spans, end, answered, gone):
        super().__init__()
        if not 4 <= len(spans) <= 5:
            raise BadField(f"expected 4 or 5 parts, found {len(spans)}")
        _, customer, rpc_id, fields = spans[:4]
        self.query, self.id = query, bytes(buffer[slice(*rpc_id)])
        self.customer = bytes(buffer[slice(*customer)])
        if not CUSTOMER.fullmatch(self.customer):
            raise BadField("customer: expected 16 hex digits, a number below 2^33")
        if not self.id:
            raise BadField("id: expected text")
        text = bytes(buffer[slice(*fields)])
        time = PIECES.search(text)
        if not time or len(time[1]) > 9:
            raise BadField("d: expected milliseconds")
        self.named = dict(
            part.split("=", 1) if "=" in part else (part, "")
            for part in text.decode("latin-1").split(",")
        )
        self.patience = int(time[1]) / 1e3
        self.before, self.after = text[: time.start(1)], text[time.end(1) :]
        self.head = bytes(
            buffer[start : rpc_id[1] + 2]
        )  # passes on unchanged, as does what follows the fields
        self.tail = bytes(buffer[fields[1] : end])
        self.answered, self.gone, self.rpc = (
            answered,
            gone,
            None,
        )  # `gone` asks whether its client has left

    def text(self, name, default=None):
        value = self.named.get(name, default)
        if value is None:
            raise BadField(f"{name}: missing")
        return value

    def whole(self, name, default, least, most):
        """A field that is a whole number."""
        value = self.named.get(name)
        if value is None:
            return default
        if not (
            value.isascii() and value.isdigit() and len(value) <= 9 and least <= int(value) <= most
        ):
            raise BadField(f"{name}: expected a whole number from {least} to {most}")
        return int(value)

    def units(self, most):
        """What it takes from the quota."""
        try:
            units = float(self.named.get("units", "1"))
        except ValueError:
            units = -1.0
        if not 0 < units <= most:
            raise BadField(f"units: expected a number above 0, at most {most:g}")
        return units

    def command(self, left):
        """The buffers of the command for a host that is waited for so many seconds."""
        fields = b"%b%d%b" % (self.before, max(1, int(left * 1e3)), self.after)
        return self.head, b"$%d\r\n%b" % (len(fields), fields), self.tail

    def finish(self, *answer):
        """Give the RPC its one answer."""
        if self.answer is None:
            self.answer = answer
            self.answered()
