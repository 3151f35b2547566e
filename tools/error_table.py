"""Updates the table of error codes in the operators' guide."""

import pathlib

from dragonflyshelf.core import errors

BEGIN = "<!-- codes -->\n"
END = "<!-- /codes -->"
PAGE = pathlib.Path(__file__).parent.parent / "docs" / "OPERATORS.md"


def table() -> str:
    """Return the Markdown table of errors, ordered by code."""
    lines = ["| code | status | step | meaning |", "|---|---|---|---|"]
    for code, error in sorted(errors.ERRORS_BY_CODE.items()):
        meaning = (error.__doc__ or "").strip().splitlines()[0]
        step = error.default_step.value
        lines.append(f"| {code} | {error.status} | {step} | {meaning} |")
    return "\n".join(lines) + "\n"


def with_table(page: str) -> str:
    """Return the page with the table replaced by the current one."""
    before, _, rest = page.partition(BEGIN)
    _, _, after = rest.partition(END)
    return f"{before}{BEGIN}{table()}{END}{after}"


def main() -> None:
    """Update the page in place."""
    page = PAGE.read_text(encoding="utf-8")
    PAGE.write_text(with_table(page), encoding="utf-8")


if __name__ == "__main__":
    main()
