"""Stand-ins of the platform, of minions and of workers, with faults."""
