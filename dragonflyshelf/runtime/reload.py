"""Reading of the settings file, at the start and when it has changed."""

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
class ReloadWanted:
    """A signal says that the settings file has changed."""


def read(path: pathlib.Path) -> settings.Settings:
    """Return the settings of a file.

    Raises ``InvalidSettingsFile`` with every mistake, or that the file
    cannot be read.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        mistake = ini.Problem(
            path=str(path), line=0, section="", option="", message=str(error)
        )
        raise ini.InvalidSettingsFile([mistake]) from error
    return ini.parse(str(path), text)


class ReloadTask(task.Task):
    """Takes over a changed settings file while the instance runs."""

    def __init__(
        self,
        config: settings.Settings,
        path: pathlib.Path,
        receivers: abc.Iterable[inbox.Inbox],
    ) -> None:
        """Create the task; the receivers get ``SettingsChanged``."""
        super().__init__("reload")
        self._config = config
        self._path = path
        self._receivers = tuple(receivers)

    @task.handles(ReloadWanted)
    def _on_reload(self, message: ReloadWanted) -> None:
        try:
            newer = read(self._path)
        except ini.InvalidSettingsFile as error:
            _LOGGER.error(
                "settings are kept, as the file has mistakes: %s",
                error.message,
                extra=logs.fields(error),
            )
            return
        self._take(newer)

    def _take(self, newer: settings.Settings) -> None:
        changed = self._config.changed_sections(newer)
        taken = [one for one in changed if one in settings.RELOADABLE_SECTIONS]
        later = [
            one for one in changed if one not in settings.RELOADABLE_SECTIONS
        ]
        _LOGGER.info(
            "settings reloaded: in force now %s, at the next start %s",
            ", ".join(taken) or "nothing",
            ", ".join(later) or "nothing",
        )
        if not taken:
            return
        self._config = self._config.with_reloaded_sections(newer)
        logs.set_level(self._config.log.level)
        for one in self._receivers:
            one.post(settings.SettingsChanged(settings=self._config))
