"""Commands that study: what happened to a job, and what a policy would do."""

import sys
from pathlib import Path

from zinniatrestle.errors import NotFoundError, ResultCode
from zinniatrestle.events.explain import cause, job_lines, read_lines, render
from zinniatrestle.experiments import Experiment, Pattern, Size, run_experiment
from zinniatrestle.experiments.plots import draw
from zinniatrestle.experiments.run import POLICIES
from zinniatrestle.operators.exits import ExitCode
from zinniatrestle.operators.output import show_json, show_line, show_list


def explain(job: str, *logs: Path, json: bool = False) -> ExitCode:
    """Print from log lines what happened to a job, and the likely cause.

    Parameters
    ----------
    job
        The job's id.
    logs
        Files with the lines of all hosts; without any, standard input is read.
    json
        Print the lines as JSON.
    """
    lines = []
    for log in logs:
        with log.open(errors="replace") as file:
            lines.extend(read_lines(file))
    if not logs:
        lines.extend(read_lines(sys.stdin))
    found = job_lines(lines, job)
    if not found:
        raise NotFoundError("No line is about this job.", ResultCode.NO_SUCH_JOB)
    if json:
        show_json({"cause": cause(found, job), "lines": found})
        return ExitCode.DONE
    for line in found:
        show_line(render(line, found[0]["at"]))
    show_line("")
    show_line(cause(found, job))
    return ExitCode.DONE


def experiment(
    *patterns: Pattern,
    seeds: int = 3,
    load: float = 1.0,
    size: Size = Size.SMALL,
    stop: float = Experiment.stop,
    policy: list[str] | None = None,
    json: bool = False,
    plot: Path | None = None,
) -> ExitCode:
    """Run seeded workloads under several policies, and compare.

    Parameters
    ----------
    patterns
        What makes the workloads heavy; without any, all patterns.
    seeds
        How many seeds each policy gets.
    load
        Arrivals as a multiple of the usual.
    size
        The fleet and the widths of its jobs.
    stop
        Seconds that workers take to stop a task.
    policy
        Policies to compare; without any, all.
    json
        Print JSON.
    plot
        Where to write a picture of the worth; needs the extra zinniatrestle[plots].
    """
    study = Experiment(
        patterns=patterns or tuple(Pattern),
        seeds=tuple(range(1, seeds + 1)),
        policies=tuple(policy or POLICIES),
        load=load,
        size=size,
        stop=stop,
    )
    results = run_experiment(study)
    headings = [
        "pattern", "policy", "seed", "jobs", "on time", "late", "urgent on time",
        "widest on time", "completion s", "start s", "longest urgent start s",
        "fragmentation", "reclaim s", "worth", "lost core-s", "broken promises",
    ]  # fmt: skip
    rows = []
    for result in results:
        rows.append(
            [
                result.pattern,
                result.policy,
                result.seed,
                result.jobs,
                f"{result.on_time:.3f}",
                f"{result.late:.3f}",
                f"{result.urgent_on_time:.3f}",
                f"{result.wide_on_time:.3f}",
                f"{result.mean_completion:.2f}",
                f"{result.mean_start:.2f}",
                f"{result.longest_urgent_start:.2f}",
                f"{result.fragmentation:.3f}",
                f"{result.reclaim:.2f}",
                f"{result.worth:.3f}",
                f"{result.lost_work:.0f}",
                result.violations,
            ]
        )
    show_list(results, json, headings, rows)
    if plot is not None:
        draw(results, plot)
    return ExitCode.DONE
