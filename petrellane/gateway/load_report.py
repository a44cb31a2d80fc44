"""The load report that an endpoint's answer may carry."""

COST_METRIC = "cost"  # the units that an RPC cost in the end
USE_FIGURE = "used"
NOT_REPORTED = 0


def parse_load_report(text: bytes, maximum: float) -> dict[str, float]:
    """Return the figures of a load report such as `a=1,b=2`.

    What is no number, or none that an endpoint can mean (below 0, above `maximum`), is left out.
    """
    figures: dict[str, float] = {}
    if not text:
        return figures
    for part in text.decode("latin-1").split(","):
        name, _, number = part.partition("=")
        try:
            value = float(number)
        except ValueError:
            continue
        if 0 <= value <= maximum:
            figures[name] = value
    return figures


def pop_reported_usage(figures: dict[str, float]) -> int:
    """Take an endpoint's figure of use out of a load report.

    Returns:
        1 + the figure, so that a use of 0 differs from `NOT_REPORTED`: every caller of the
        controller gives it in this form.
    """
    use = figures.pop(USE_FIGURE, None)
    return NOT_REPORTED if use is None else 1 + int(use)
