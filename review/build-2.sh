#!/bin/sh
# Builds the programs of the cases from 6 on, with their stand-ins, into target/. That of case 7 is of the earlier review.
cd "$(dirname "$0")/.." && exec go build -o target/review/second/ ./review/second/platform/... ./review/platform/ordercase
