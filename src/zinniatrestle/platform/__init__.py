"""Adapter that translates the platform's names, formats and calls.

It makes no decisions, and no code outside this package uses the platform's names.
"""
