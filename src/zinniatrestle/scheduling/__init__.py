"""The job scheduler, run by one elected host at a time."""
