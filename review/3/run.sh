#!/bin/sh
# Plays the case drillall. TROUBLE=0 leaves out the drill. Exits with 1 if RECOVER was broken, 0 if it
# held, and 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
exec "$here/../standin/standin" drillall "$root/target/azurehitch" "$here/record.txt"
