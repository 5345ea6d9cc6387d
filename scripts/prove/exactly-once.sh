#!/usr/bin/env bash
# A trainer waits for steps of 512 samples while the log is down and its own
# connection is cut in the middle of answers. The daemon that makes the first step
# is killed; the one that takes over is stopped (SIGSTOP) and wakes after a third
# one took the job, so that two hold the step; in the second step its daemon is
# killed again. The trainer counts each sample once, none missing.
# Cause of the harm if the cursor weren't there: an owner knows only what it sent
# itself, not what arrived. Seen red with a daemon that takes sent for delivered
# (missing=28) and with one that ignores part of the cursor (duplicates=94800).
source "$(dirname "$0")/steps.bash"

fleet 4 4 --token-time 4ms --check-fencing
"$BIN/standin" fault "$LOG_URL" outage
start_trainer trainer 4 --steps 2 --prompts 128 --tokens-min 60 --tokens-max 220 --cut-answers 30 --max-groups 16

samples trainer 1 40
kill_holder 4

samples trainer 1 120
frozen=$(holder 4)
signal "entry-$frozen" STOP
DEAD+="$frozen "
taken=$(holder 4) # another daemon has the step now
signal "entry-$frozen" CONT
DEAD=" $KILLED "

samples trainer 2 80
kill_holder 4
verdict trainer 1024 "kills=2 frozen=entry-$frozen taken_by=entry-$taken log=down"
