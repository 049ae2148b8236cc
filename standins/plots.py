"""Plots worth by day and version, and costs by number of daemons.

Run by ``make plots``, which installs the library for it. The figures come from
the journal of the users' bench.
"""

import collections
import pathlib

import matplotlib as mpl

mpl.use("svg")

from matplotlib import pyplot

from lacewingdrum_platform import journal

ROOT = pathlib.Path(__file__).parent.parent
FOLDER = ROOT / "docs" / "plots"
SIZE_INCHES = (8.0, 4.0)
SCORED = "score"


def plot_worth(site: str, days: list[journal.PlayedDay]) -> pathlib.Path:
    """Plot the worth of a site's standard days, a line each, by version."""
    runs = sorted({(day.started, day.commit) for day in days})
    position = {run: number for number, run in enumerate(runs)}
    by_name: dict[str, list[journal.PlayedDay]] = collections.defaultdict(list)
    for day in days:
        by_name[day.name].append(day)
    figure, axes = pyplot.subplots(figsize=SIZE_INCHES)
    for name, played in sorted(by_name.items()):
        positions = [position[day.started, day.commit] for day in played]
        axes.plot(positions, [day.worth for day in played], marker="o", label=name)
    axes.set_xticks(range(len(runs)), [commit for _, commit in runs], rotation=60)
    axes.set(title=f"{site}: worth by day and version", ylabel="worth")
    axes.legend(fontsize="small", ncols=2)
    return _save(figure, f"worth-{site}")


def plot_costs(days: list[journal.PlayedDay]) -> pathlib.Path:
    """Plot the costs of a daemon against the number of daemons."""
    figure, all_axes = pyplot.subplots(1, 3, figsize=SIZE_INCHES)
    counts = [day.daemon_count for day in days]
    costs = (
        ("processor, ms/s", [day.processor_ms_per_s for day in days]),
        ("memory, MB", [day.memory_mb for day in days]),
        ("calls to the store, 1/s", [day.store_calls_per_s for day in days]),
    )
    for axes, (title, values) in zip(all_axes, costs, strict=True):
        axes.scatter(counts, values, s=8, rasterized=True)
        axes.set(title=title, xlabel="daemons", xscale="log", ylim=(0, None))
    return _save(figure, "costs-by-daemons")


def _save(figure: pyplot.Figure, name: str) -> pathlib.Path:
    FOLDER.mkdir(parents=True, exist_ok=True)
    path = FOLDER / f"{name}.svg"
    figure.tight_layout()
    # Without a date and with fixed ids, equal plots are equal files.
    figure.savefig(path, metadata={"Date": None})
    pyplot.close(figure)
    return path


def main() -> None:
    """Write all plots and print their paths."""
    mpl.rcParams["svg.hashsalt"] = "lacewingdrum"
    days = list(journal.read(ROOT / "journal"))
    by_site: dict[str, list[journal.PlayedDay]] = collections.defaultdict(list)
    for day in days:
        if day.command == SCORED and day.site and "fresh" not in day.name:
            by_site[day.site].append(day)
    for site, scored in sorted(by_site.items()):
        print(plot_worth(site, scored).relative_to(ROOT))
    with_costs = [day for day in days if day.processor_ms_per_s]
    print(plot_costs(with_costs).relative_to(ROOT))


if __name__ == "__main__":
    main()
