"""Tests of the sub-commands for operators."""

import contextlib
import json
import socket

import pytest

from dragonflyshelf.cli import operators
from dragonflyshelf.codec import operators as codec
from dragonflyshelf.core import errors
from dragonflyshelf.runtime.operators import client

HOST = "127.0.0.1"
SHOWN = codec.QueryAnswer(columns=("name",), rows=(("w",),))


class FakeOperator:
    """Client that answers each statement alike."""

    def __init__(self, answer: codec.Answer) -> None:
        """Create a client with its answer; an error is raised."""
        self._answer = answer
        self.texts: list[str] = []

    async def async_run(self, text: str) -> codec.Answer:
        """Keep the text and answer it."""
        self.texts.append(text)
        if isinstance(self._answer, codec.ErrorAnswer):
            raise client.StatementFailed(self._answer)
        return self._answer


@pytest.fixture(name="answer_with")
def fixture_answer_with(monkeypatch: pytest.MonkeyPatch):
    """Return a function that sets what every statement is answered."""

    def answer_with(answer: codec.Answer) -> FakeOperator:
        fake = FakeOperator(answer)

        @contextlib.asynccontextmanager
        async def async_open(host: str, port: int, token: str = ""):
            yield fake

        monkeypatch.setattr(client, "async_open", async_open)
        return fake

    return answer_with


def failure(error: errors.RouterError) -> codec.ErrorAnswer:
    """Return the answer for an error."""
    return codec.of_error(error)


class TestExitStatus:
    """Each kind of end has its exit status."""

    def test_done(self, answer_with, capsys) -> None:
        """A table is printed for people."""
        answer_with(SHOWN)
        assert operators.run("show workspaces", HOST, 1, False) == 0
        assert capsys.readouterr().out.split() == ["name", "------", "w"]

    def test_json(self, answer_with, capsys) -> None:
        """JSON is printed for programs."""
        answer_with(SHOWN)
        assert operators.run("show workspaces", HOST, 1, True) == 0
        assert json.loads(capsys.readouterr().out)["rows"] == [["w"]]

    def test_mistake(self, capsys) -> None:
        """A mistake is pointed at before anything is sent."""
        status = operators.run("show workspaces limit x", HOST, 1, False)
        assert status == operators.EXIT_USAGE
        lines = capsys.readouterr().err.splitlines()
        assert lines[1].index("^") == lines[0].index("x")
        assert errors.BadStatement.code in lines[2]

    def test_refused(self, answer_with, capsys) -> None:
        """A refusal goes to standard error with its code."""
        answer_with(failure(errors.CommandRefused("no")))
        status = operators.run("withdraw key k", HOST, 1, False)
        assert status == operators.EXIT_REFUSED
        assert errors.CommandRefused.code in capsys.readouterr().err

    def test_unknown(self, answer_with) -> None:
        """An unknown result is not taken for a refusal."""
        answer_with(failure(errors.ResultUnknown("who knows")))
        status = operators.run("withdraw key k", HOST, 1, False)
        assert status == operators.EXIT_UNKNOWN

    def test_unreachable(self, capsys) -> None:
        """An instance that does not answer has its own status."""
        with socket.socket() as bound:
            bound.bind((HOST, 0))
            port = bound.getsockname()[1]
            status = operators.run("audit", HOST, port, False)
        assert status == operators.EXIT_UNREACHABLE
        assert f"peer={HOST}:{port}" in capsys.readouterr().err


class TestTimeline:
    """Options become conditions of one query over all instances."""

    def test_filters(self, answer_with) -> None:
        """Only options that are given filter."""
        fake = answer_with(SHOWN)
        operators.timeline(workspace="w", shard=0, limit=5)
        (text,) = fake.texts
        assert "everywhere where workspace = w and shard = 0" in text
        assert text.endswith("order by stamp, instance limit 5")
