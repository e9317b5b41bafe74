#!/bin/sh
# Builds the stand-ins that the cases of the second review start. Needs no network.
cd "$(dirname "$0")/.." && exec go build -o target/review-standin-2 ./review/.standin-2
