"""Tests of the headers of callers and upstreams on the platform."""

import h11
import hypothesis
from hypothesis import strategies
import pytest

from dragonflyshelf.codec import http
from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core import messages
from dragonflyshelf.core import states
from dragonflyshelf.platform import names

NOW = ids.Instant(50.0)
DEFAULT_ID = ids.RequestId("drawn")


def decode_head(*headers: tuple[bytes, bytes]) -> messages.RequestHead:
    """Return the decoded head of a request with these headers."""
    event = h11.Request(
        method=b"GET",
        target=b"/a/1?x=2",
        headers=[(b"Host", b"A.B:80"), *headers],
    )
    return http.parse_request_head(event, names.HEADERS, DEFAULT_ID, NOW, 10.0)


class TestRequest:
    """Heads of callers' requests are decoded and forwarded."""

    def test_fields(self) -> None:
        """Deadline, caller key, request id and shard key are decoded."""
        request = decode_head(
            (b"Request-Id", b"9c41"),
            (b"Deadline-Ms", b"1200"),
            (b"X-Api-Key", b"secret"),
            (b"Shard-Key", b"4097"),
        )
        assert request.request_id == "9c41"
        assert request.deadline == pytest.approx(51.2)
        assert request.key_digest == http.digest_key(b"secret")
        assert request.shard_key == 4097
        assert (request.host, request.path) == ("a.b", "/a/1")

    def test_forwarded_headers(self) -> None:
        """Caller keys are removed and callers cannot set the workspace."""
        request = decode_head(
            (b"X-Api-Key", b"secret"),
            (b"Tenant", b"another"),
            (b"Expect-Instance", b"i-9"),
            (b"Request-Id", b"9c41"),
            (b"X-Two", b"2"),
        )
        forwarded = dict(
            http.upstream_headers(
                names.HEADERS,
                request,
                ids.UpstreamId("i-1"),
                ids.WorkspaceId("one"),
                0.75,
            )
        )
        assert b"x-api-key" not in forwarded
        assert forwarded[b"tenant"] == b"one"
        assert forwarded[b"expect-instance"] == b"i-1"
        assert forwarded[b"deadline-ms"] == b"750"
        assert forwarded[b"request-id"] == b"9c41"
        assert forwarded[b"x-two"] == b"2"

    def test_public_route_names_no_workspace(self) -> None:
        """Without a workspace a caller's workspace header is removed."""
        request = decode_head((b"Tenant", b"another"))
        forwarded = dict(
            http.upstream_headers(
                names.HEADERS, request, ids.UpstreamId("i-1"), None, 1.0
            )
        )
        assert b"tenant" not in forwarded

    @pytest.mark.parametrize(
        "header",
        [
            (b"Deadline-Ms", b"soon"),
            (b"Deadline-Ms", b"-1"),
            (b"Shard-Key", b"65536"),
            (b"Shard-Key", b"x"),
            (b"Request-Id", b""),
        ],
    )
    def test_invalid_value(self, header: tuple[bytes, bytes]) -> None:
        """A header with an invalid value is rejected with a coded error."""
        if header == (b"Request-Id", b""):
            with pytest.raises(errors.BadRequest):
                decode_head(header)
            return
        with pytest.raises(errors.BadRequest):
            decode_head(header)


class TestResponses:
    """Headers and statuses of upstreams' responses are decoded."""

    @pytest.mark.parametrize(
        ("status", "headers", "not_run"),
        [
            (503, [(b"Not-Executed", b"1")], True),
            (429, [(b"Not-Executed", b"1")], True),
            (421, [], True),
            (503, [], False),
            (500, [(b"Not-Executed", b"1")], False),
            (504, [], False),
        ],
    )
    def test_not_run(
        self, status: int, headers: list[tuple[bytes, bytes]], not_run: bool
    ) -> None:
        """Status 421, or the header with some statuses, means not run."""
        event = h11.Response(status_code=status, headers=headers)
        assert http.is_not_run_response(names.HEADERS, event) is not_run

    def test_load(self) -> None:
        """The fields are running, waiting, slots and slowdown."""
        report = http.parse_load_report(b"3,1,8,250")
        assert report is not None
        assert (report.running, report.waiting, report.slots) == (3, 1, 8)
        assert report.slowdown == pytest.approx(2.5)

    @hypothesis.given(strategies.binary(max_size=20))
    def test_any_load(self, value: bytes) -> None:
        """An invalid report is decoded to None."""
        report = http.parse_load_report(value)
        assert report is None or report.slots >= 0


class TestStatuses:
    """Error statuses match the outcome of the request."""

    @pytest.mark.parametrize(
        ("error_type", "outcome", "status"),
        [
            (errors.Overloaded, states.Outcome.NOT_RUN, 503),
            (errors.Overloaded, states.Outcome.UNKNOWN, 502),
            (errors.RateExceeded, states.Outcome.NOT_RUN, 429),
            (errors.RequestTimeout, states.Outcome.UNKNOWN, 502),
            (errors.DeadlineExceeded, states.Outcome.UNKNOWN, 504),
            (errors.DeadlineExceeded, states.Outcome.NOT_RUN, 503),
            (errors.UpstreamUnreachable, states.Outcome.NOT_RUN, 503),
            (errors.UpstreamFailed, states.Outcome.UNKNOWN, 502),
        ],
    )
    def test_status(
        self,
        error_type: type[errors.RouterError],
        outcome: states.Outcome,
        status: int,
    ) -> None:
        """Statuses 408, 421, 429 and 503 need the outcome not-run."""
        error = error_type("text", outcome=outcome)
        assert http.error_status(error) == status

    def test_retry_after_has_fractions(self) -> None:
        """A delay below one second is not rounded."""
        error = errors.Overloaded("text", retry_after=0.25)
        assert (b"retry-after", b"0.25") in http.error_headers(error, 0)
