"""Tests of the reference of settings and of the example files."""

import dataclasses
import pathlib
import re

import pytest

from dragonflyshelf.codec import ini
from dragonflyshelf.codec import settings_reference
from dragonflyshelf.core import settings

ROOT = pathlib.Path(__file__).parent.parent.parent
TEMPLATE = ROOT / "deploy" / "settings.ini"
EXAMPLES = sorted((ROOT / "examples").rglob("*.ini"))


class TestReference:
    """The reference is generated from the types of the settings."""

    def test_example(self) -> None:
        """The generated file of all options parses to the defaults."""
        parsed = ini.parse("all.ini", settings_reference.render_example())
        assert parsed == settings.Settings(instance=parsed.instance)

    def test_page(self) -> None:
        """The page contains all sections and options."""
        page = settings_reference.render_settings_page()
        for name, section_type in settings_reference.section_types().items():
            _, _, following = page.partition(f"## `[{name}]`")
            part, _, _ = following.partition("\n## ")
            for field in dataclasses.fields(section_type):
                assert f"`{field.name}`" in part, (name, field.name)


class TestExamples:
    """The example files are valid."""

    @pytest.mark.parametrize(
        "path", EXAMPLES, ids=lambda p: f"{p.parent.name}-{p.name}"
    )
    def test_valid(self, path: pathlib.Path) -> None:
        """An example is parsed without problems."""
        ini.parse(str(path), path.read_text(encoding="utf-8"))


VALUES_BY_PLACEHOLDER = {
    "NodeName": "front-a-1",
    "Zone": "a-1",
    "Region": "a",
    "Listen.Front": "10.1.0.24:8045",
    "Listen.ReadyAddr": "10.1.0.24:8048",
    "InternalPorts.0": "7100",
    "InternalPorts.1": "7115",
    "Platform.Address": "10.200.1.7:8041",
    "Limits.CpuShare": "0.717",
    "Limits.Cores": "3",
    "Limits.LinkMbps": "60.0",
    "Limits.MemoryMb": "160",
    "Limits.MaxFds": "1638",
    "Bounds.RetryBudgetRatio": "0.2",
    "Bounds.RetryBudgetSlack": "56",
    "Bounds.BudgetWindowS": "10",
    "Bounds.ConfigApplyS": "2.5",
    "Bounds.ContactS": "3",
    "Bounds.DrainS": "2",
    "Bounds.GraceS": "6",
    "Bounds.HoldMaxS": "10",
    "Bounds.RevokeS": "5",
}
REQUIRED_BOUNDS = [
    "Bounds.RetryBudgetRatio",
    "Bounds.RetryBudgetSlack",
    "Bounds.BudgetWindowS",
]
SECTION_PATTERN = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
"""Part of a template that is rendered if a value is present."""


def render_template(value_by_placeholder: dict[str, str]) -> str:
    """Return the settings file that the platform makes of the template."""
    text = SECTION_PATTERN.sub(
        lambda match: match[2] if match[1] in value_by_placeholder else "",
        TEMPLATE.read_text(encoding="utf-8"),
    )
    for name, value in value_by_placeholder.items():
        text = text.replace("{{%s}}" % name, value)
    return text


class TestTemplate:
    """The template that the platform renders becomes valid settings."""

    def test_rendered(self) -> None:
        """All placeholders are known, and the result is valid."""
        text = render_template(VALUES_BY_PLACEHOLDER)
        assert "{{" not in text
        parsed = ini.parse("local.ini", text)
        assert parsed.entry.callers == "10.1.0.24:8045"
        assert parsed.store.address == "10.200.1.7:8041"
        assert (parsed.instance.core_share, parsed.instance.cores) == (
            0.717,
            3,
        )
        assert parsed.instance.link_mbps == 60.0
        assert parsed.instance.memory_mb == 160.0
        assert parsed.instance.descriptors == 1638
        assert (parsed.retries.share, parsed.retries.window) == (0.2, 10.0)
        assert (parsed.promises.apply, parsed.promises.drain) == (2.5, 2.0)
        assert (parsed.shutdown.settle, parsed.shutdown.deadline) == (2.3, 5.6)

    def test_deployment_without_promises(self) -> None:
        """A deployment that promises nothing gets the defaults."""
        parsed = ini.parse(
            "local.ini",
            render_template(
                {
                    name: value
                    for name, value in VALUES_BY_PLACEHOLDER.items()
                    if not name.startswith(("Bounds.", "Limits."))
                    or name in REQUIRED_BOUNDS
                }
            ),
        )
        assert parsed.promises == settings.PromiseSettings()
