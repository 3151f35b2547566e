"""Picture of a time line: a lane for each instance, a mark for each event.

It needs ``matplotlib``, which the extra ``picture`` brings.
"""

import pathlib
from typing import Any

from matplotlib import figure

HEIGHT_INCHES = 0.6
WIDTH_INCHES = 12.0
MARGIN_INCHES = 1.5


def save(
    columns: tuple[str, ...],
    rows: tuple[tuple[Any, ...], ...],
    path: pathlib.Path,
) -> None:
    """Write a picture of events in the format that the suffix names.

    The columns must have ``instance``, ``kind`` and ``time`` in seconds.
    """
    places = [columns.index(one) for one in ("instance", "kind", "time")]
    events = [tuple(row[one] for one in places) for row in rows]
    instances = sorted({instance for instance, _, _ in events})
    first = min((time for _, _, time in events), default=0.0)
    lanes_by_instance = {name: lane for lane, name in enumerate(instances)}
    height = MARGIN_INCHES + HEIGHT_INCHES * len(instances)
    picture = figure.Figure(
        figsize=(WIDTH_INCHES, height), layout="constrained"
    )
    axes = picture.add_subplot()
    for kind in sorted({kind for _, kind, _ in events}):
        marks = [one for one in events if one[1] == kind]
        axes.plot(
            [time - first for _, _, time in marks],
            [lanes_by_instance[instance] for instance, _, _ in marks],
            "|",
            markersize=14,
            label=kind,
        )
    axes.set_yticks(range(len(instances)), instances)
    axes.set_xlabel("seconds after the first event")
    if events:
        axes.legend(loc="center left", bbox_to_anchor=(1.0, 0.5))
    picture.savefig(path)
