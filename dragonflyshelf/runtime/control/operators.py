"""What the control task answers to the operators' listener."""

from dragonflyshelf.core.configuration import commands
from dragonflyshelf.core.configuration import explain
from dragonflyshelf.core.configuration import view
from dragonflyshelf.core import errors
from dragonflyshelf.runtime.operators import messages


def plan(message: messages.PlanWanted, known: view.ObjectView) -> None:
    """Answer with the plan of a command or with its refusal."""
    context = commands.Context(
        view=known, write_id=message.write_id, new_key=message.new_key
    )
    try:
        message.reply_to.post(commands.plan(message.command, context))
    except errors.RouterError as error:
        message.reply_to.post(messages.Refused(error=error))


def explained(message: messages.ExplainWanted, known: view.ObjectView) -> None:
    """Answer with an explanation."""
    rows = explain.explain(message.statement, known)
    message.reply_to.post(messages.Explained(rows=rows))


class InForceWaiters:
    """Those who wait until a version is in force here."""

    def __init__(self, known: view.ObjectView) -> None:
        """Create the list for a view."""
        self._view = known
        self._waiting: list[messages.InForceWanted] = []

    def add(self, message: messages.InForceWanted) -> None:
        """Answer now, or once the view has the version."""
        self._waiting.append(message)
        self.on_view()

    def on_view(self) -> None:
        """Answer those whose version has come into force."""
        if not self._waiting:
            return
        left = []
        for one in self._waiting:
            version = self._view.applied_version(one.key)
            if version < one.version:
                left.append(one)
                continue
            one.reply_to.post(messages.InForce(version=version))
        self._waiting = left

    def forget(self, message: messages.ForgetWaiter) -> None:
        """Drop one who no longer waits."""
        self._waiting = [
            one
            for one in self._waiting
            if one.reply_to is not message.reply_to
        ]
