#!/usr/bin/env bash
# The stand-ins are plain JavaScript for Node.js: nothing is compiled, only their syntax is checked.
set -eu
cd "$(dirname "$0")"
for file in lib/*.js [1-5]/*.js; do
	if [ -e "$file" ]; then node --check "$file"; fi
done
