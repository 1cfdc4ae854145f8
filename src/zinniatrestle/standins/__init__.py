"""Test doubles of the platform, minions and workers, with injectable faults."""
