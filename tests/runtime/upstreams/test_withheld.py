"""Tests of dragonflyshelf.runtime.upstreams.withheld."""

import h11
import pytest

from dragonflyshelf.codec import http
from dragonflyshelf.core import ids
from dragonflyshelf.core import states
from dragonflyshelf.core.upstreams import state
from dragonflyshelf.runtime.upstreams import withheld

UPSTREAM = ids.UpstreamId("u1")
NOT_RUN_NAME = http.DEFAULT_HEADER_NAMES.not_run


def find_reason(
    status: int,
    *names: bytes,
    withhold_server_errors: bool = True,
    is_idempotent: bool = True,
) -> withheld.Reason | None:
    """Return why a response with some headers is withheld."""
    response = h11.Response(
        status_code=status, headers=[(name, b"1") for name in names]
    )
    return withheld.find_reason(
        http.DEFAULT_HEADER_NAMES,
        response,
        withhold_server_errors,
        is_idempotent,
    )


class TestReason:
    """Which responses the origin does not get."""

    def test_not_run(self) -> None:
        """Only a response that says so states that nothing was executed."""
        assert find_reason(503, NOT_RUN_NAME) is withheld.Reason.DECLINED
        assert find_reason(421, NOT_RUN_NAME) is withheld.Reason.NOT_HOLDER
        assert find_reason(503) is withheld.Reason.SERVER_ERROR

    def test_server_error(self) -> None:
        """It is withheld only if the request could be sent again."""
        assert find_reason(500, withhold_server_errors=False) is None
        assert find_reason(404) is None

    @pytest.mark.parametrize("status", [408, 429, 503])
    def test_unconfirmed_refusal(self, status: int) -> None:
        """Its status promises what its upstream has not said.

        An idempotent request may be executed again, so its caller gets it.
        """
        forwarded = find_reason(status, withhold_server_errors=False)
        assert forwarded is None
        reason = find_reason(
            status, withhold_server_errors=False, is_idempotent=False
        )
        assert reason is withheld.Reason.UNCONFIRMED_REFUSAL

    @pytest.mark.parametrize("status", [200, 404, 500, 502, 504])
    def test_status_without_promise(self, status: int) -> None:
        """It is forwarded, whatever the request."""
        reason = find_reason(
            status, withhold_server_errors=False, is_idempotent=False
        )
        assert reason is None


class TestWithheldResponse:
    """Outcome and limits of a response that is withheld."""

    @pytest.mark.parametrize(
        ("reason", "result", "outcome"),
        [
            (
                withheld.Reason.DECLINED,
                state.AttemptResult.DECLINED,
                states.Outcome.NOT_RUN,
            ),
            (
                withheld.Reason.NOT_HOLDER,
                state.AttemptResult.NOT_HOLDER,
                states.Outcome.NOT_RUN,
            ),
            (
                withheld.Reason.SERVER_ERROR,
                state.AttemptResult.FAILED,
                states.Outcome.UNKNOWN,
            ),
            (
                withheld.Reason.UNCONFIRMED_REFUSAL,
                state.AttemptResult.FAILED,
                states.Outcome.UNKNOWN,
            ),
        ],
    )
    def test_outcome(
        self,
        reason: withheld.Reason,
        result: state.AttemptResult,
        outcome: states.Outcome,
    ) -> None:
        """The error says whether the request may have been executed."""
        response = withheld.WithheldResponse(reason, 503)
        assert response.result is result
        assert response.make_error(UPSTREAM).outcome is outcome
        assert response.is_not_run is (outcome is states.Outcome.NOT_RUN)

    def test_body_of_tiny_chunks(self) -> None:
        """They are limited in number, as parsing them takes the time."""
        response = withheld.WithheldResponse(withheld.Reason.DECLINED, 503)
        for _ in range(withheld.MAX_CHUNK_COUNT):
            response.add_chunk(b"abc")
        assert not response.is_too_long
        response.add_chunk(b"abc")
        assert response.is_too_long

    def test_long_body(self) -> None:
        """It is limited in size too."""
        response = withheld.WithheldResponse(withheld.Reason.DECLINED, 503)
        response.add_chunk(b"\0" * withheld.MAX_BODY_BYTES)
        assert not response.is_too_long
        response.add_chunk(b"\0")
        assert response.is_too_long
