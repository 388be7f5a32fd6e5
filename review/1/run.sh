#!/usr/bin/env bash
exec "$(dirname "$0")/../common/run.sh" 1
