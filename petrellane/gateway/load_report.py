"""The load report that an endpoint's answer may carry."""


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
