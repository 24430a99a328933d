#!/bin/sh
# Installs the packages that the build and the checks need, if any is missing.
set -eu

PACKAGES="gcc make cmake pkg-config clang-format clang-tidy python3 git check
libglib2.0-dev liburcu-dev libmsgpack-dev libcivetweb-dev libjansson-dev
libcurl4-openssl-dev libhttp-parser-dev libxxhash-dev liblz4-dev"

trap 'status=$?; [ $status -eq 0 ] || echo "setup ended early, status $status"' EXIT

missing=""
for p in $PACKAGES; do
	dpkg-query -W -f='${Status}' "$p" 2>/dev/null |
	    grep -q '^install ok installed$' || missing="$missing $p"
done
[ -z "$missing" ] && exit 0
echo "setup: installing$missing"
sudo=""
[ "$(id -u)" -eq 0 ] || sudo="sudo"
$sudo apt-get update -q
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -q $missing
