#!/usr/bin/env bash
# Installs missing Debian packages. Does nothing if all are installed.
set -eu
packages="gcc make pkg-config clang clang-format clang-tidy cppcheck
valgrind curl procps libapr1-dev libmicrohttpd-dev libargtable2-dev
libprotobuf-c-dev liburcu-dev libglib2.0-dev libjansson-dev libxxhash-dev
libcmocka-dev libcurl4-openssl-dev libclang-rt-14-dev"
missing=""
for p in $packages; do
	dpkg-query -W -f='${Status}' "$p" 2>/dev/null |
		grep -q 'ok installed' || missing="$missing $p"
done
[ -z "$missing" ] && exit 0
echo "installing:$missing"
sudo=""
[ "$(id -u)" = 0 ] || sudo=sudo
$sudo apt-get update -qq
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -qq $missing \
	>/dev/null
