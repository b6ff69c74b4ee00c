#!/usr/bin/env bash
# Plays the case. Exits with 1 if the rule was broken, 0 if it held and 2 if the case
# could not be played. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
target=../../target
if [ ! -x "$target/catkinpoint" ] || [ ! -x "$target/review-2" ]; then
  echo "build the project and the stand-ins first" >&2
  exit 2
fi
exec "$target/review-2" -program "$target/catkinpoint" -record record.txt unread
