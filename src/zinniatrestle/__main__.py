"""Entry point of `python -m zinniatrestle`."""

from zinniatrestle.operators.main import main

main()
