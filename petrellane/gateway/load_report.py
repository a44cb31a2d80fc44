"""The load report that an endpoint's reply may carry."""

COST_METRIC = "cost"  # the actual cost of an RPC, in units
USAGE_METRIC = "used"
NOT_REPORTED = 0


def parse_load_report(text: bytes, maximum: float) -> dict[str, float]:
    """Return the metrics of a load report such as `a=1,b=2`.

    A value that is not a number, negative, or above `maximum` is left out.
    """
    metrics: dict[str, float] = {}
    if not text:
        return metrics
    for part in text.decode("latin-1").split(","):
        name, _, number = part.partition("=")
        try:
            value = float(number)
        except ValueError:
            continue
        if 0 <= value <= maximum:
            metrics[name] = value
    return metrics


def pop_reported_usage(metrics: dict[str, float]) -> int:
    """Remove the usage metric from a load report and return it.

    Returns:
        The usage plus 1, or `NOT_REPORTED` if the report contains no usage. The addition of 1
        distinguishes a reported usage of 0 from a missing one. Every caller of the controller
        reports usage in this form.
    """
    usage = metrics.pop(USAGE_METRIC, None)
    return NOT_REPORTED if usage is None else 1 + int(usage)
