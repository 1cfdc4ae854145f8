"""The platform's names, formats and calls, translated into the project's types.

Nothing here decides anything, and nothing outside knows the platform's names.
"""
