"""Compares the instances of two checkouts, in turns within one run.

``python -m bench.compare BEFORE [--rounds N]``.
"""

import asyncio
import statistics

import defopt
import msgspec

from bench import one_core


async def async_compare(before: str, rounds: int) -> dict[str, object]:
    """Measure two checkouts in turns; return all and the medians."""
    found: dict[str, list[one_core.Figures]] = {}
    for _ in range(rounds):
        for hops in (0, 1):
            for name, folder in (("before", before), ("after", "")):
                figures = await one_core.async_measure(hops, folder)
                found.setdefault(f"{name}-{hops}", []).append(figures)
    return {
        name: {
            "cpu_us_per_request": statistics.median(
                one.cpu_us_per_request for one in rows
            ),
            "flood_requests_per_second": statistics.median(
                one.flood_requests_per_second for one in rows
            ),
            "calm_p99_ms": statistics.median(one.calm_p99_ms for one in rows),
            "rounds": rows,
        }
        for name, rows in found.items()
    }


def main(before: str, *, rounds: int = 3) -> None:
    """Compare another checkout with the present one.

    :param before: folder of the other checkout
    :param rounds: how often both are measured
    """
    figures = asyncio.run(async_compare(before, rounds))
    text = msgspec.json.format(msgspec.json.encode(figures), indent=2)
    print(text.decode())


if __name__ == "__main__":
    defopt.run(main)
