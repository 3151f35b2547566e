"""Decoding of the JSON lines that instances log."""

from collections import abc
import datetime

import msgspec

from dragonflyshelf.core.timeline import explanation


class LineRecord(msgspec.Struct, frozen=True, kw_only=True):
    """A line as it is written; what it does not need is left out."""

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
    """Yield the lines that are an instance's; others are passed over.

    What stands before the first brace is not read, so that lines may
    carry a prefix of whoever collected them.
    """
    for line in lines:
        begin = line.find("{")
        if begin < 0:
            continue
        try:
            record = msgspec.json.decode(line[begin:], type=LineRecord)
        except msgspec.MsgspecError:
            continue
        fields = msgspec.structs.asdict(record)
        fields["time"] = record.time.timestamp()
        yield explanation.LogLine(**fields)
