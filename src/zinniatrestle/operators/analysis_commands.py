"""Analysis commands: explain a job's history from logs, compare policies."""

import sys
from pathlib import Path

from zinniatrestle.errors import NotFoundError, ResultCode
from zinniatrestle.events.explain import (
    cause,
    first_line,
    job_lines,
    read_lines,
    render,
)
from zinniatrestle.experiments import Experiment, Pattern, Size, run_experiment
from zinniatrestle.experiments.plots import draw
from zinniatrestle.experiments.run import POLICIES
from zinniatrestle.operators.exits import ExitCode
from zinniatrestle.operators.output import show_json, show_line, show_list


def explain(job: str, *logs: Path, json: bool = False) -> ExitCode:
    """Explain from log lines what happened to a job, and the likely cause.

    Parameters
    ----------
    job
        The job's id.
    logs
        Log files of all hosts; standard input by default.
    json
        Print the cause and the lines as JSON.
    """
    lines = []
    for log in logs:
        with log.open(errors="replace") as file:
            lines.extend(read_lines(file))
    if not logs:
        lines.extend(read_lines(sys.stdin))
    job_events = job_lines(lines, job)
    if not job_events:
        raise NotFoundError(
            f"The log has no line about job {job}.", ResultCode.NO_SUCH_JOB
        )
    if json:
        show_json({"cause": cause(job_events, job), "lines": job_events})
        return ExitCode.DONE
    began_at = first_line(job_events, job)["at"]
    for line in job_events:
        show_line(render(line, began_at))
    show_line("")
    show_line(cause(job_events, job))
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
    """Run seeded workloads under several policies and compare the results.

    Parameters
    ----------
    patterns
        Load patterns of the workloads; all by default.
    seeds
        Number of seeds to run each policy with.
    load
        Arrival rate, as a multiple of the default.
    size
        Size of the fleet and width of its jobs.
    stop
        Time that workers take to stop a task, in seconds.
    policy
        Policies to compare; all by default.
    json
        Print JSON.
    plot
        File for a plot of the worth; needs the extra zinniatrestle[plots].
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
