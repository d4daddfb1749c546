#!/usr/bin/env bash
# Writes class-data archives for both roles into target/. The JVM maps the classes from them instead of parsing and
# verifying the jar at each start. The roles also start without the archives, so a failure here does not fail the build.
set -u
cd "$(dirname "$0")/.."
folder=target/class-archives
settings=deploy/class-archives.json
options="-XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xss256k"
rm -rf "$folder" target/router.jsa target/control.jsa
mkdir -p "$folder"

# send PORT REQUEST: sends a request, whose connection the server closes, and waits for the answer.
send() {
    timeout 3 bash -c 'exec 3<>"/dev/tcp/127.0.0.1/$0" && printf "%b" "$1" >&3 && cat <&3' "$1" "$2" > /dev/null 2>&1
}

start() {
    java "-Xmx$2" $options -XX:ArchiveClassesAtExit="target/$1.jsa" -jar target/ibismoor.jar "$1" \
        --settings "$settings" > "$folder/$1.log" 2>&1 &
}

start control 56m
control=$!
start router 64m
router=$!
sleep 3
document='{"version":1,"routes":[{"name":"route","host":"build.example","pathPrefix":"/build/","kind":"safe",'
document+='"timeoutMs":1000,"targetLatencyMs":400,"priority":0,"service":"service","maxAttempts":1,"public":true}],'
document+='"services":[{"name":"service","healthPath":"/health","maxConnections":10}],"limits":{},"tenants":[]}'
send 28229 "POST /config/put HTTP/1.1\r\nHost: build\r\nConnection: close\r\nContent-Length: ${#document}\r\n\r\n$document"
send 28229 "GET /config/get HTTP/1.1\r\nHost: build\r\nConnection: close\r\n\r\n"
sleep 1
send 28224 "GET /resolve?name=build.example&zone=build HTTP/1.1\r\nHost: build\r\nConnection: close\r\n\r\n"
send 28220 "GET /ready HTTP/1.1\r\nHost: build\r\nConnection: close\r\n\r\n"
send 28227 "GET /build/ HTTP/1.1\r\nHost: build.example\r\nX-Ibismoor-Request-Id: build\r\nConnection: close\r\n\r\n"
kill -TERM "$control" "$router" 2> /dev/null
wait "$control" "$router"
rm -rf "$folder/data"
exit 0
