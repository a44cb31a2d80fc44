"""Measures cost as the number of interpreter operations, which does not depend on the machine."""

import sys
from collections.abc import Callable
from types import FrameType
from typing import Any


def operations(call: Callable[[], object]) -> int:
    """Return the number of operations (opcodes) that the interpreter executes in a call."""
    count = 0

    def trace(frame: FrameType, event: str, _argument: object) -> Any:  # noqa: ANN401
        nonlocal count
        frame.f_trace_lines = False
        frame.f_trace_opcodes = True
        count += event == "opcode"
        return trace

    before = sys.gettrace()
    sys.settrace(trace)
    try:
        call()
    finally:
        sys.settrace(before)
    return count
