"""Run the command line: `python -m zinniatrestle`."""

from zinniatrestle.operators.main import main

main()
