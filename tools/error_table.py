"""Updates the table of error codes in the operators' guide."""

import pathlib

from dragonflyshelf.core import errors

TABLE_START = "<!-- codes -->\n"
TABLE_END = "<!-- /codes -->"
PAGE_PATH = pathlib.Path(__file__).parent.parent / "docs" / "OPERATORS.md"


def render_table() -> str:
    """Return the Markdown table of errors, ordered by code."""
    lines = ["| code | status | step | meaning |", "|---|---|---|---|"]
    for code, error in sorted(errors.ERRORS_BY_CODE.items()):
        meaning = (error.__doc__ or "").strip().splitlines()[0]
        step = error.default_step.value
        lines.append(f"| {code} | {error.status} | {step} | {meaning} |")
    return "\n".join(lines) + "\n"


def replace_table(page: str) -> str:
    """Return the page with the table replaced by the current one."""
    before, _, rest = page.partition(TABLE_START)
    _, _, after = rest.partition(TABLE_END)
    return f"{before}{TABLE_START}{render_table()}{TABLE_END}{after}"


def main() -> None:
    """Update the page in place."""
    page = PAGE_PATH.read_text(encoding="utf-8")
    PAGE_PATH.write_text(replace_table(page), encoding="utf-8")


if __name__ == "__main__":
    main()
