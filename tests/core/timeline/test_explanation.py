"""Tests of the explanation of one request."""

from dragonflyshelf.codec import log_lines
from dragonflyshelf.core.timeline import explanation

START_TIME = 1_796_000_000.0


def make_line(
    seconds: float, event: str, instance: str = "i1", **values: object
) -> explanation.LogLine:
    """Return a line logged some seconds after ``START_TIME``."""
    return explanation.LogLine(
        time=START_TIME + seconds,
        instance=instance,
        event=event,
        **values,  # type: ignore[arg-type]
    )


LINES = (
    make_line(
        9.0, "request ended", request_id="r1", code="DS114", status="503"
    ),
    make_line(1.0, "configuration 6 in force"),
    make_line(2.0, "configuration 7 in force"),
    make_line(4.5, "store lost for configuration: 503"),
    make_line(4.6, "store lost for configuration: 503", instance="i2"),
    make_line(8.0, "request ended", request_id="r2", status="200"),
    make_line(
        8.9,
        "request refused: configuration was confirmed 4.6 s ago",
        request_id="r1",
        code="DS114",
        step="authentication",
    ),
)


class TestExplanation:
    """A request is explained by its lines and by state changes."""

    def test_order(self) -> None:
        """Lines are ordered; of each kind the latest state change is kept."""
        explained = explanation.explain(LINES, "r1")
        assert [entry.line.event.partition(":")[0] for entry in explained] == [
            "configuration 7 in force",
            "store lost for configuration",
            "request refused",
            "request ended",
        ]
        assert {entry.line.instance for entry in explained} == {"i1"}

    def test_deciding_line(self) -> None:
        """The last line with a step and a code gives the cause."""
        explained = explanation.explain(LINES, "r1")
        deciding_line = explanation.find_deciding_line(explained)
        assert deciding_line is not None
        assert deciding_line.step == "authentication"

    def test_unknown_request(self) -> None:
        """A request id that no line carries has no explanation."""
        assert explanation.explain(LINES, "r9") == ()

    def test_success(self) -> None:
        """A successful request has no deciding line."""
        assert (
            explanation.find_deciding_line(explanation.explain(LINES, "r2"))
            is None
        )


class TestInvalidConfiguration:
    """A configuration that could not be read was explained by nothing."""

    FAULT = "configuration object is invalid: main r7 at revision 42"

    def explain_events(self, *lines: explanation.LogLine) -> list[str]:
        """Return the events that explain a request that ended at 90 s."""
        end = make_line(90.0, "request ended", request_id="r1", code="DS114")
        return [
            entry.line.event
            for entry in explanation.explain((*lines, end), "r1")
        ]

    def test_old_fault(self) -> None:
        """It is shown however long before the request it was found."""
        assert self.explain_events(
            make_line(1.0, "configuration 6 in force"),
            make_line(2.0, self.FAULT),
            make_line(3.0, self.FAULT, instance="i2"),
        ) == [self.FAULT, "request ended"]

    def test_recent_fault(self) -> None:
        """It is shown once, after the version in force."""
        assert self.explain_events(
            make_line(85.0, "configuration 6 in force"),
            make_line(86.0, self.FAULT),
        ) == ["configuration 6 in force", self.FAULT, "request ended"]

    def test_fault_that_has_ended(self) -> None:
        """It is not shown once a later version is in force."""
        assert self.explain_events(
            make_line(1.0, self.FAULT),
            make_line(2.0, "configuration 8 in force"),
        ) == ["request ended"]


class TestLogLines:
    """Decoding of log lines collected from many instances."""

    def test_prefix_and_other_lines(self) -> None:
        """Prefixes are skipped, and so are lines of other formats."""
        text = (
            '  4.5 front-a-1 {"time": "2026-12-04T14:00:00.000+00:00",'
            ' "instance": "i1", "event": "x", "request_id": "r1"}'
        )
        other_lines = ["Traceback", "{}", "{not json", '{"event": "cut"}']
        (found,) = log_lines.decode([*other_lines, text])
        assert (found.instance, found.request_id) == ("i1", "r1")
