"""Tests of the explanation of one request."""

from dragonflyshelf.codec import log_lines
from dragonflyshelf.core.timeline import explanation

BEGIN = 1_796_000_000.0


def line(
    seconds: float, event: str, instance: str = "i1", **values: object
) -> explanation.LogLine:
    """Return a line so many seconds after the begin."""
    return explanation.LogLine(
        time=BEGIN + seconds,
        instance=instance,
        event=event,
        **values,  # type: ignore[arg-type]
    )


LINES = (
    line(9.0, "request ended", request_id="r1", code="DS114", status="503"),
    line(1.0, "configuration 6 in force"),
    line(2.0, "configuration 7 in force"),
    line(4.5, "store lost for configuration: 503"),
    line(4.6, "store lost for configuration: 503", instance="i2"),
    line(8.0, "request ended", request_id="r2", status="200"),
    line(
        8.9,
        "request refused: configuration was confirmed 4.6 s ago",
        request_id="r1",
        code="DS114",
        step="authentication",
    ),
)


class TestExplanation:
    """Lines of the request, and what its instance believed."""

    def test_order(self) -> None:
        """Lines come in the order of time, the last belief of a kind."""
        found = explanation.explain(LINES, "r1")
        assert [one.line.event.partition(":")[0] for one in found] == [
            "configuration 7 in force",
            "store lost for configuration",
            "request refused",
            "request ended",
        ]
        assert {one.line.instance for one in found} == {"i1"}

    def test_deciding_line(self) -> None:
        """The last line with a step and a code decided."""
        found = explanation.explain(LINES, "r1")
        decided = explanation.deciding(found)
        assert decided is not None
        assert decided.step == "authentication"

    def test_unknown_request(self) -> None:
        """A request that no line names has no explanation."""
        assert explanation.explain(LINES, "r9") == ()

    def test_success(self) -> None:
        """Nothing decided against a request that was served."""
        assert explanation.deciding(explanation.explain(LINES, "r2")) is None


class TestLogLines:
    """Reading of lines that were collected from many instances."""

    def test_prefix_and_noise(self) -> None:
        """A prefix is passed over, and so is what is no line of ours."""
        text = (
            '  4.5 front-a-1 {"time": "2026-12-04T14:00:00.000+00:00",'
            ' "instance": "i1", "event": "x", "request_id": "r1"}'
        )
        noise = ["Traceback", "{}", "{not json", '{"event": "cut"}']
        (found,) = log_lines.decode([*noise, text])
        assert (found.instance, found.request_id) == ("i1", "r1")
