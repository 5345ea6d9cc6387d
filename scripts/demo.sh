#!/usr/bin/env bash
# The main job end to end: stand-ins and four daemons as processes, production
# traffic, a job of three steps with a new weight version between them, and a
# daemon killed in the middle. The figures are counted by the trainer and callers.
source "$(dirname "$0")/lib.sh"

DAEMONS=4
ENGINES=4

echo "demo: starting the platform, $ENGINES engines, a service, a scorer and $DAEMONS daemons"
start_platform
for i in $(seq 1 $ENGINES); do start_engine "$i" --token-time 4ms --check-fencing; done
start counter "$BIN/standin" service --listen "127.0.0.1:$(upstream_port 90)" --latency 5ms
start scorer "$BIN/standin" scorer --listen "127.0.0.1:$(upstream_port 91)" --latency 5ms
vm_list $DAEMONS
for i in $(seq 1 $DAEMONS); do start_daemon "$i"; done
"$BIN/standin" wait $(for i in $(seq 1 $DAEMONS); do echo "$(admin_url "$i")/healthz"; done)

echo "demo: publishing the configuration"
publish fleet "$(fleet_branch $ENGINES)"
publish teams/koperasi "$(team_branch)"
ready $(seq 1 $DAEMONS)

echo "demo: production traffic and a job of three steps"
start callers "$BIN/standin" callers --json --daemons "$(urls caller $(seq 1 $DAEMONS))" --key $CALLER_KEY \
  --rate 60 --duration 15s --service-path /booking --idempotent-path /rolls --services "http://127.0.0.1:$(upstream_port 90)"
start trainer "$BIN/standin" trainer --json --daemons "$(urls trainer $(seq 1 $DAEMONS))" --key $TRAINER_KEY \
  --job clerk --steps 3 --prompts 64 --tokens-min 100 --tokens-max 500 --tail-tokens 900 --publish-to "$WEIGHTS_URL" --bound 1
sleep 3
echo "demo: killing daemon entry-2"
signal entry-2 KILL
await entry-2 || true

trainer_code=0 callers_code=0
await trainer || trainer_code=$?
await callers || callers_code=$?
"$BIN/standin" report --trainer "$RUN/trainer.out" --callers "$RUN/callers.out" || trainer_code=1
if [ $trainer_code -ne 0 ] || [ $callers_code -ne 0 ]; then
  tail -n 3 "$RUN/trainer.log" "$RUN/callers.log" >&2 || true
  exit 1
fi
