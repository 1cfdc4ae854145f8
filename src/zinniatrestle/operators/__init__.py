"""The operators' interface and the command line."""
