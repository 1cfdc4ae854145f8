"""Draw the results of an experiment; needs the extra zinniatrestle[plots]."""

from pathlib import Path

from zinniatrestle.errors import CallerError
from zinniatrestle.experiments.run import Result

# Sizes in inches, and the share of a pattern's width that its bars take.
WIDTH_PER_PATTERN = 1.6
MIN_WIDTH = 4.0
HEIGHT = 3.6
BARS_SHARE = 0.8


def draw(results: list[Result], path: Path):
    """Write a bar chart of the worth of each policy by pattern; raises CallerError.

    A bar is the mean over the seeds, its whisker spans the minimum and the maximum.
    """
    try:
        import matplotlib
    except ImportError as error:
        raise CallerError("Install zinniatrestle[plots] to draw pictures.") from error
    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    patterns = list(dict.fromkeys(result.pattern for result in results))
    policies = list(dict.fromkeys(result.policy for result in results))
    width = max(MIN_WIDTH, WIDTH_PER_PATTERN * len(patterns))
    figure, axes = plt.subplots(figsize=(width, HEIGHT), layout="constrained")
    bar_width = BARS_SHARE / len(policies)
    for number, policy in enumerate(policies):
        means, below, above, positions = [], [], [], []
        for index, pattern in enumerate(patterns):
            found = [
                result.worth
                for result in results
                if (result.pattern, result.policy) == (pattern, policy)
            ]
            if not found:
                continue
            mean = sum(found) / len(found)
            means.append(mean)
            below.append(mean - min(found))
            above.append(max(found) - mean)
            positions.append(index + (number - (len(policies) - 1) / 2) * bar_width)
        axes.bar(
            positions, means, bar_width, yerr=[below, above], capsize=2, label=policy
        )
    axes.set_xticks(range(len(patterns)), patterns)
    axes.set_ylabel("worth")
    axes.legend(fontsize="small")
    try:
        figure.savefig(path)
    except (OSError, ValueError) as error:
        raise CallerError(f"Can't write the picture: {error}.") from error
    finally:
        plt.close(figure)
