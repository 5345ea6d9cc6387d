#!/usr/bin/env bash
# The trainer's connection is cut after half an answer, again and again; the
# trainer itself starts anew in mid-step with a pull outstanding; and each daemon
# thinks it is alone and owns the job, since none was told of the others. The
# trainer reaches all of them by turns. It counts each sample once, none missing.
# Two trainers: one that saved what it had accepted, one that lost it.
# Cause of the harm without the cursor: an answer counted as delivered when sent.
# Seen red with a daemon that takes sent for delivered (missing=320).
source "$(dirname "$0")/steps.bash"

start_platform
for i in 1 2 3; do start_engine "$i" --token-time 4ms --check-fencing; done
start scorer "$BIN/standin" scorer --listen "127.0.0.1:$(upstream_port 91)" --latency 5ms
vm_list 0 # the list names no daemon: each one is parted from its peers
for i in 1 2 3; do start_daemon "$i"; done
"$BIN/standin" wait $(for i in 1 2 3; do echo "$(admin_url "$i")/healthz"; done)
publish fleet "$(fleet_branch 3)"
publish teams/koperasi "$(team_branch 1)"
ready 1 2 3

flags=(--steps 2 --prompts 64 --tokens-min 50 --tokens-max 200 --max-groups 8 --cut-answers 24 --restarts 2)
start_trainer kept 3 "${flags[@]}" --keep-cursor
start_trainer lost 3 "${flags[@]}" --first-step 101 --seed 2

# A daemon that a trainer stays with is killed and started anew, twice, so that the
# trainer goes to one of the others, which knows nothing of the step.
for step in 1 2; do
  samples kept $step 60
  kill_holder 3
  start_daemon "$KILLED"
  DEAD=" "
done

code=0
verdict kept 512 "cursor=kept" || code=1
verdict lost 512 "cursor=lost" || code=1
jq -rs '"samples=\(map(.samples)|add) missing=\(map(.missing)|add) duplicates=\(map(.duplicates)|add) cut=\(map(.cut)|add) restarts=\(map(.restarts)|add) forgotten=\(map(.forgotten)|add) daemons_parted=3 kills=2"' "$RUN/kept.out" "$RUN/lost.out"
# Without cuts and restarts the proof would show nothing.
jq -es 'map(.cut) | add >= 20' "$RUN/kept.out" "$RUN/lost.out" >/dev/null || code=1
jq -es 'map(.restarts) == [2, 2]' "$RUN/kept.out" "$RUN/lost.out" >/dev/null || code=1
exit $code
