"""Seeded workloads through the real decisions, in virtual time, beside baselines."""

from zinniatrestle.experiments.run import Experiment, Result, run_experiment
from zinniatrestle.experiments.workload import Pattern, Size, Workload

__all__ = ["Experiment", "Pattern", "Result", "Size", "Workload", "run_experiment"]
