"""Seeded workloads, scheduled by several policies in virtual time."""

from zinniatrestle.experiments.run import Experiment, Result, run_experiment
from zinniatrestle.experiments.workload import Pattern, Size, Workload

__all__ = ["Experiment", "Pattern", "Result", "Size", "Workload", "run_experiment"]
