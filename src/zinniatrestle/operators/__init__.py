"""The operators' HTTP API and the command line."""
