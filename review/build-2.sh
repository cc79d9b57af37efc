#!/bin/sh
# The stand-ins of the cases 6 to 10 are plain modules that Node.js runs as they are; checks that all of them parse.
set -e
cd "$(dirname "$0")"
for file in lib-2/*.js [6-9]/case.js 10/case.js; do
	if [ -e "$file" ]; then
		node --check "$file"
	fi
done
