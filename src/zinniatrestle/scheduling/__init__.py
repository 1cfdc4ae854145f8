"""The scheduler of jobs with steps: one host at a time decides for all."""
