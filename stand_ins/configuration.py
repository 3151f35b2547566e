"""Configuration of a small deployment in the operator's format."""


def build_configuration(
    version: int,
    caller_keys: list[str],
    rate: float = 1000,
    other_workspaces: tuple[tuple[str, list[str]], ...] = (),
    other_prefixes: tuple[str, ...] = (),
) -> dict[str, object]:
    """Return a configuration with a plain and a sharded service.

    ``caller_keys`` are those of the workspace "one"; ``other_workspaces``
    are the names and caller keys of further workspaces, and
    ``other_prefixes`` further paths of the plain service. ``rate`` is in
    requests per second; the burst equals one second of it.
    """
    return {
        "Version": f"r{version}",
        "Routes": {
            "Columns": [
                "Name",
                "Host",
                "PathPrefix",
                "Kind",
                "TimeoutS",
                "SloLatencyS",
                "Priority",
                "MaxAttempts",
                "Service",
            ],
            "Rows": [
                ["read", "a.b", "/read/", "safe", 2, 0.5, 2, 2, "letters"],
                ["order", "a.b", "/order/", "unsafe", 2, 1, 1, 2, "letters"],
                ["old", "a.b", "/old/", "safe", 5, 1, 2, 2, "archive"],
                *(
                    [prefix, "a.b", prefix, "safe", 2, 0.5, 2, 2, "letters"]
                    for prefix in other_prefixes
                ),
            ],
        },
        "Services": {
            "Columns": ["Name", "HealthPath", "Sharded", "WarmupPerS"],
            "Rows": [
                ["letters", "/healthz", None, 6],
                ["archive", "/healthz", True, 6],
            ],
        },
        "Tenants": {
            "Columns": ["Name", "ApiKeys", "RatePerS", "Burst"],
            "Rows": [
                [workspace, workspace_keys, rate, rate]
                for workspace, workspace_keys in (
                    ("one", caller_keys),
                    *other_workspaces,
                )
            ],
        },
    }
