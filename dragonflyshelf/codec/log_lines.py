"""Decoding of the JSON log lines of instances."""

from collections import abc
import datetime

import msgspec

from dragonflyshelf.core.timeline import explanation


class LineRecord(msgspec.Struct, frozen=True, kw_only=True):
    """JSON form of a log line; other fields of a line are ignored."""

    time: datetime.datetime
    instance: str
    event: str
    request_id: str = ""
    code: str = ""
    outcome: str = ""
    peer: str = ""
    step: str = ""
    status: str = ""
    seconds: float = 0.0


def decode(
    lines: abc.Iterable[str],
) -> abc.Iterator[explanation.LogLine]:
    """Yield the decoded log lines of instances and skip all other lines.

    Text before the first brace is skipped, because log collectors may
    add a prefix to each line.
    """
    for line in lines:
        json_start = line.find("{")
        if json_start < 0:
            continue
        try:
            record = msgspec.json.decode(line[json_start:], type=LineRecord)
        except msgspec.MsgspecError:
            continue
        fields = msgspec.structs.asdict(record)
        fields["time"] = record.time.timestamp()
        yield explanation.LogLine(**fields)
