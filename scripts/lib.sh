# Functions that the demo, the proofs and the benches share: they start the
# stand-ins and daemons as processes of the calling script, and end just those,
# by their ids, when it exits.
set -euo pipefail

ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
BIN=$ROOT/bin
RUN=${RUN:-$(mktemp -d)}
PORT_BASE=${PORT_BASE:-21000}
export DOGWOODFLOW_ADMIN_TOKEN=admin-token-of-the-demo
export DOGWOODFLOW_PEER_TOKEN=peer-token-of-the-demo

LOG_PORT=$((PORT_BASE + 1))
WEIGHTS_PORT=$((PORT_BASE + 2))
VMS_PORT=$((PORT_BASE + 3))
LOG_URL=http://127.0.0.1:$LOG_PORT
WEIGHTS_URL=http://127.0.0.1:$WEIGHTS_PORT
VMS_URL=http://127.0.0.1:$VMS_PORT

declare -A PID=()    # process ids by name
declare -A SILENT=() # names whose end is expected

caller_port() { echo $((PORT_BASE + 100 + $1 * 4)); }
trainer_port() { echo $((PORT_BASE + 101 + $1 * 4)); }
admin_port() { echo $((PORT_BASE + 102 + $1 * 4)); }
peer_port() { echo $((PORT_BASE + 103 + $1 * 4)); }
upstream_port() { echo $((PORT_BASE + 300 + $1)); }
admin_url() { echo "http://127.0.0.1:$(admin_port "$1")"; }

# urls KIND N...: comma-separated base URLs of the daemons' caller or trainer ports.
urls() {
  local kind=$1 out= i
  shift
  for i in "$@"; do out+=",http://127.0.0.1:$("${kind}_port" "$i")"; done
  echo "${out#,}"
}

# start NAME COMMAND...: runs a process in the background, output in $RUN/NAME.log.
start() {
  local name=$1
  shift
  "$@" >>"$RUN/$name.out" 2>>"$RUN/$name.log" &
  PID[$name]=$!
}

# signal NAME SIG: sends a signal to one of our own processes.
signal() { kill "-$2" "${PID[$1]}"; }

# await NAME: waits for the end of a process and returns its exit code.
await() {
  local code=0
  wait "${PID[$1]}" || code=$?
  unset "PID[$1]"
  return $code
}

stop_all() {
  local name
  for name in "${!PID[@]}"; do
    kill -CONT "${PID[$name]}" 2>/dev/null || true
    kill -KILL "${PID[$name]}" 2>/dev/null || true
  done
  for name in "${!PID[@]}"; do
    wait "${PID[$name]}" 2>/dev/null || true
  done
  PID=()
}
trap stop_all EXIT

start_platform() {
  start log "$BIN/standin" log --listen "127.0.0.1:$LOG_PORT" "$@"
  start weights "$BIN/standin" weights --listen "127.0.0.1:$WEIGHTS_PORT" --models drafts=1 --fetch-rate 20
  start vmlist "$BIN/standin" vmlist --listen "127.0.0.1:$VMS_PORT" --lag 500ms
  "$BIN/standin" wait "$LOG_URL/_standin/fault" "$WEIGHTS_URL/_standin/fault" "$VMS_URL/_standin/fault"
}

# start_daemon N [FLAGS]: daemon entry-N, data centre by turn.
DATA_CENTRES=(semarang surabaya bandung)
start_daemon() {
  local n=$1
  shift
  start "entry-$n" "$BIN/dogwoodflowd" --vm "entry-$n" --data-centre "${DATA_CENTRES[$((n % 3))]}" \
    --caller-address "127.0.0.1:$(caller_port "$n")" --trainer-address "127.0.0.1:$(trainer_port "$n")" \
    --admin-address "127.0.0.1:$(admin_port "$n")" --peer-address "127.0.0.1:$(peer_port "$n")" \
    --log-url "$LOG_URL" --weights-url "$WEIGHTS_URL" --vm-list-url "$VMS_URL" --log-retention 1h "$@"
}

# start_engine N [FLAGS]: engine-N.
start_engine() {
  local n=$1
  shift
  start "engine-$n" "$BIN/standin" engine --listen "127.0.0.1:$(upstream_port "$n")" \
    --models drafts=1 --weight-store "$WEIGHTS_URL" "$@"
}

# vm_list DAEMONS: tells the VM list of daemons 1..DAEMONS.
vm_list() {
  local i list=
  for i in $(seq 1 "$1"); do
    list+=",{\"name\":\"entry-$i\",\"role\":\"entry\",\"data_centre\":\"${DATA_CENTRES[$((i % 3))]}\",\"peer_address\":\"127.0.0.1:$(peer_port "$i")\"}"
  done
  "$BIN/standin" get --method PUT --body "{\"vms\":[${list#,}]}" "$VMS_URL/v1/vms" >/dev/null
}

sha256() { printf %s "$1" | sha256sum | cut -d' ' -f1; }

CALLER_KEY=caller-key-of-the-demo
TRAINER_KEY=trainer-key-of-the-demo
OPERATOR_KEY=operator-key-of-the-demo

# fleet_branch ENGINES [CHECKS]: the fleet's branch with engines 1..ENGINES, a
# service (upstream 90) and a scorer (91).
fleet_branch() {
  local i engines= checks=${2:-true}
  for i in $(seq 1 "$1"); do
    engines+=",\"engine-$i\":{\"address\":\"127.0.0.1:$(upstream_port "$i")\",\"data_centre\":\"${DATA_CENTRES[$((i % 3))]}\",\"checks_fencing\":$checks}"
  done
  cat <<JSON
{"production_reserve":0.3,"groups":{
 "engines":{"kind":"engine","upstreams":{${engines#,}}},
 "counter":{"kind":"service","upstreams":{"counter-1":{"address":"127.0.0.1:$(upstream_port 90)","data_centre":"semarang"}}},
 "scorers":{"kind":"scorer","upstreams":{"scorer-1":{"address":"127.0.0.1:$(upstream_port 91)","data_centre":"semarang"}}}}}
JSON
}

# team_branch [BOUND]: the co-operative's branch.
team_branch() {
  cat <<JSON
{"keys":{"caller":{"sha256":"$(sha256 $CALLER_KEY)","role":"caller"},
         "trainer":{"sha256":"$(sha256 $TRAINER_KEY)","role":"trainer"},
         "operator":{"sha256":"$(sha256 $OPERATOR_KEY)","role":"operator"}},
 "models":{"drafts":{"group":"engines","staleness_bound":${1:-1},"max_tokens":4096}},
 "routes":{"booking":{"path":"/booking","methods":["POST"],"group":"counter","idempotent":false,"timeout_ms":20000},
           "rolls":{"path":"/rolls","methods":["GET","POST"],"group":"counter","idempotent":true,"timeout_ms":20000}},
 "jobs":{"clerk":{"model":"drafts","scorer":"scorers","group_size":4,"max_tokens":4096}},
 "limits":{"weight":1,"max_queue":5000,"max_body_bytes":1048576},
 "staleness_weight":0.7}
JSON
}

# publish BRANCH JSON: publishes a whole branch through daemon 1 on its newest version.
publish() {
  printf '%s' "$2" >"$RUN/branch.json"
  "$BIN/dogwoodflowctl" --url "$(admin_url "${3:-1}")" config set --branch "$1" --file "$RUN/branch.json" --base latest >/dev/null
}

# ready N...: waits until the daemons are ready.
ready() {
  local i list=()
  for i in "$@"; do list+=("http://127.0.0.1:$(caller_port "$i")/readyz"); done
  "$BIN/standin" wait "${list[@]}"
}
