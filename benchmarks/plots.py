"""Draw charts of the tables in docs/MEASUREMENTS.md.

`python benchmarks/plots.py` needs the extra zinniatrestle[plots] and writes the
pictures of docs/pictures.
"""

import re
from pathlib import Path

import matplotlib

matplotlib.use("Agg")
import matplotlib.pyplot as plt

ROOT = Path(__file__).parents[1]
PICTURES = ROOT / "docs" / "pictures"
SIZE = (6.4, 3.6)
PRODUCT_COLOR = "#33658a"
BASELINE_COLOR = "#c9a227"


def table(heading: str) -> list[dict[str, str]]:
    """Return the rows of the first table under a heading of the page."""
    text = (ROOT / "docs" / "MEASUREMENTS.md").read_text()
    section = text.split(f"## {heading}\n", 1)[1].split("\n## ", 1)[0]
    lines = [line for line in section.splitlines() if line.startswith("|")]
    names, _, *rows = [
        [cell.strip() for cell in line.split("|")[1:-1]] for line in lines
    ]
    return [dict(zip(names, row, strict=True)) for row in rows]


def _cells(line: str) -> list[str]:
    return [cell.strip() for cell in line.split("|")[1:-1]]


def number(text: str) -> float:
    """Return the first number of a cell."""
    return float(re.search(r"[\d.]+", text.replace(",", "")).group())


def mean(text: str) -> float:
    """Return the mean of a cell with one value for each seed."""
    values = [float(part) for part in text.split(", ")]
    return sum(values) / len(values)


def claims():
    """Draw answered requests and latency by rate, with and without batching."""
    figure, (left, right) = plt.subplots(1, 2, figsize=SIZE)
    for batch, color in (("1", BASELINE_COLOR), ("64", PRODUCT_COLOR)):
        rows = [row for row in table("Claims") if row["batch"] == batch]
        rates = [number(row["requests a second"]) for row in rows]
        answered = [100 * number(row["answered"]) for row in rows]
        latency = [number(row["p99 ms"]) for row in rows]
        label = "one row, one write" if batch == "1" else "written together"
        left.plot(rates, answered, color=color, marker="o", label=label)
        right.plot(rates, latency, color=color, marker="o", label=label)
    left.set(xlabel="requests a second", ylabel="answered, %", ylim=(0, 105))
    right.set(xlabel="requests a second", ylabel="p99, ms", ylim=(0, None))
    left.legend(frameon=False)
    save(figure, "claims")


def requests():
    """Draw the share of seat checks within 250 ms by scenario."""
    names, baseline, product = [], [], []
    for row in table("Requests under faults"):
        value = 100 * mean(row["within 250 ms"])
        if row["policy"] == "baseline":
            names.append(row["scenario"])
            baseline.append(value)
            continue
        product.append(value)
    figure, axes = plt.subplots(figsize=SIZE)
    positions = range(len(names))
    axes.barh(
        [position + 0.2 for position in positions], baseline, 0.38, color=BASELINE_COLOR
    )
    axes.barh(
        [position - 0.2 for position in positions], product, 0.38, color=PRODUCT_COLOR
    )
    axes.set_yticks(list(positions), names)
    axes.invert_yaxis()
    axes.set_xlabel("answered within 250 ms, %")
    axes.legend(
        ["baseline", "zinniatrestle"],
        frameon=False,
        ncols=2,
        loc="lower center",
        bbox_to_anchor=(0.5, 1.0),
    )
    save(figure, "requests")


def gangs():
    """Draw completion time and fragmentation by policy."""
    rows = table("Gangs")
    names = [row["policy"].replace(", ", ",\n") for row in rows]
    figure, (left, right) = plt.subplots(1, 2, figsize=SIZE)
    colors = [BASELINE_COLOR, "#8a8a8a", PRODUCT_COLOR]
    left.bar(names, [number(row["mean s"]) for row in rows], color=colors)
    left.set_ylabel("mean completion time, s")
    right.bar(names, [100 * number(row["fragmentation"]) for row in rows], color=colors)
    right.set_ylabel("fragmentation, %")
    for axes in (left, right):
        axes.tick_params(axis="x", labelsize=7)
    save(figure, "gangs")


def domains():
    """Draw the utilization before, during and after a failure domain's absence."""
    rows = table("A failure domain leaves and returns")
    columns = list(rows[0])[1:]
    means = []
    for column in columns:
        means.append(100 * sum(number(row[column]) for row in rows) / len(rows))
    figure, axes = plt.subplots(figsize=SIZE)
    axes.bar(
        [name.replace(", ", ",\n") for name in columns], means, color=PRODUCT_COLOR
    )
    axes.set_ylabel("accelerators busy, %")
    axes.tick_params(axis="x", labelsize=8)
    save(figure, "domains")


def save(figure, name: str):
    """Write a figure as PNG."""
    PICTURES.mkdir(exist_ok=True)
    figure.tight_layout()
    figure.savefig(PICTURES / f"{name}.png", dpi=110, metadata={"Software": None})
    plt.close(figure)


def main():
    """Draw all pictures."""
    claims()
    requests()
    gangs()
    domains()


if __name__ == "__main__":
    main()
