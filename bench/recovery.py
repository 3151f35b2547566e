"""Experiment ``recovery``: how long the keys of a loss go unserved."""

from bench import cluster as clusters
from bench import experiments
from bench import ownership

OUTAGE_SECONDS = 20.0
SHORT_FAULTS = ("leader_killed", "upstream_killed")
TARGET_SECONDS = 3.0


@experiments.EXPERIMENTS.register("recovery")
async def async_recovery(options: experiments.Options) -> experiments.Result:
    """Bring losses about, each in processes of its own."""
    faults = SHORT_FAULTS if options.short else tuple(ownership.FAULTS)
    found: dict[str, dict[str, object]] = {}
    for fault in faults:
        description = clusters.ClusterDescription(seed=options.seed)
        with clusters.running(description) as cluster:
            found[fault] = await ownership.async_measure(
                cluster, fault, OUTAGE_SECONDS
            )
    overlaps = [
        f"{fault}: two owners"
        for fault, figures in found.items()
        if figures["owners_overlap"]
    ]
    return experiments.Result(
        figures={"target_s": TARGET_SECONDS, "by_fault": found},
        broken=tuple(overlaps),
    )
