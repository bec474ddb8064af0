#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. There are none: its one case is a day.
set -euo pipefail
exit 0
