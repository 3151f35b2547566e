"""Loading of the settings file, at start-up and on request."""

from collections import abc
import dataclasses
import pathlib

from absl import logging

from dragonflyshelf.codec import ini
from dragonflyshelf.core import settings
from dragonflyshelf.runtime import inbox
from dragonflyshelf.runtime import logs
from dragonflyshelf.runtime import task

_LOGGER = logging.get_absl_logger()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReloadRequested:
    """A signal has requested that the settings file be read again."""


def load_settings(path: pathlib.Path) -> settings.Settings:
    """Return the settings of a file.

    Raises ``InvalidSettingsFile`` with all problems of the file, or with one
    if it cannot be read.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        problem = ini.Problem(
            path=str(path), line=0, section="", option="", message=str(error)
        )
        raise ini.InvalidSettingsFile([problem]) from error
    return ini.parse(str(path), text)


class ReloadTask(task.Task):
    """Applies a changed settings file while the instance is running."""

    def __init__(
        self,
        config: settings.Settings,
        path: pathlib.Path,
        receivers: abc.Iterable[inbox.Inbox],
    ) -> None:
        """Create the task; it posts ``SettingsChanged`` to the receivers."""
        super().__init__("reload")
        self._config = config
        self._path = path
        self._receivers = tuple(receivers)

    @task.handles(ReloadRequested)
    def _on_reload_requested(self, message: ReloadRequested) -> None:
        try:
            new_settings = load_settings(self._path)
        except ini.InvalidSettingsFile as error:
            _LOGGER.error(
                "settings not reloaded, the file is invalid: %s",
                error.message,
                extra=logs.error_fields(error),
            )
            return
        self._apply(new_settings)

    def _apply(self, new_settings: settings.Settings) -> None:
        changed = self._config.changed_sections(new_settings)
        applied = [
            section
            for section in changed
            if section in settings.RELOADABLE_SECTIONS
        ]
        deferred = [
            section
            for section in changed
            if section not in settings.RELOADABLE_SECTIONS
        ]
        _LOGGER.info(
            "settings reloaded: in force now %s, at the next start %s",
            ", ".join(applied) or "nothing",
            ", ".join(deferred) or "nothing",
        )
        if not applied:
            return
        self._config = self._config.with_reloaded_sections(new_settings)
        logs.set_level(self._config.log.level)
        for receiver in self._receivers:
            receiver.post(settings.SettingsChanged(settings=self._config))
