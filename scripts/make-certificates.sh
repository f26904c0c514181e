#!/usr/bin/env bash
# Creates certificates for the processes of a deployment: scripts/make-certificates.sh FOLDER NAME=IP...
# The certificate authority is kept in FOLDER, so that a later run can add hosts or renew certificates.
set -euo pipefail
if [ $# -lt 2 ]; then
  echo "usage: scripts/make-certificates.sh FOLDER NAME=IP..." >&2
  exit 2
fi
folder=$1
shift
mkdir -p "$folder"
umask 077
if [ ! -f "$folder/authority.key" ]; then
  openssl req -x509 -newkey ec -pkeyopt ec_paramgen_curve:P-256 -nodes -days 3650 \
    -subj "/CN=apricotyard authority" -keyout "$folder/authority.key" \
    -out "$folder/authorities.pem" 2>/dev/null
fi
for host in "$@"; do
  name=${host%%=*}
  ip=${host#*=}
  openssl req -new -newkey ec -pkeyopt ec_paramgen_curve:P-256 -nodes -subj "/CN=$name" \
    -keyout "$folder/$name.key.new" -out "$folder/$name.csr" 2>/dev/null
  openssl x509 -req -in "$folder/$name.csr" -days 365 -CA "$folder/authorities.pem" \
    -CAkey "$folder/authority.key" -set_serial "0x$(openssl rand -hex 16)" \
    -extfile <(printf 'subjectAltName=IP:%s' "$ip") -out "$folder/$name.pem.new" 2>/dev/null
  # Key and certificate cannot be replaced in one step. A process that reads them in between keeps its
  # current pair and reads the files again at the next refresh.
  mv "$folder/$name.key.new" "$folder/$name.key"
  mv "$folder/$name.pem.new" "$folder/$name.pem"
  rm "$folder/$name.csr"
done
