#!/bin/sh
# Exit with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
python3 case.py
case $? in
0) exit 0 ;;
3) exit 1 ;;
*) exit 2 ;;
esac
