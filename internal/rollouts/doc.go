// Package rollouts owns training steps at run time: it takes them from
// trainers, drives a rollout.Step for each through a Generator and a Scorer,
// and answers the trainers' pulls.
//
// A job's steps belong to the daemon that Peers names as its owner, and other
// daemons forward to it. That is an optimisation, never a matter of safety: the
// trainer's cursor says what it holds, so any daemon, or two at once, may answer.
// A daemon that can't reach the owner takes the step itself, and a daemon asked
// for a step it doesn't know answers UnknownStep: the trainer, which waits for
// the step anyway and has its prompts, submits it again.
//
// What a crash, a handover or a drain loses is work: samples that were being
// made or hadn't been pulled. It never loses a group that the trainer accepted,
// since that is in its cursor, and never brings one twice.
//
// # The trainer's part
//
// A trainer that keeps to these rules holds each sample once, whatever fails:
//
//   - It submits a step (PUT), then pulls until it holds every group. One pull
//     is outstanding at a time, on a connection of its own.
//   - Each pull carries its cursor, the groups it holds. It takes an answer as a
//     whole and only when it parses to its end with "end":true, is the answer to
//     its newest pull, and judged_by isn't below the newest version that it
//     knows at receipt. Anything else it drops, and pulls again.
//   - It stays with the daemon that took the submission until a call to that
//     one fails, and only then takes another from the balancer. While daemons
//     don't agree on a job's owner (in their first seconds, or parted), going
//     round them would find one after another that doesn't know the step.
//   - Told 404 (step unknown) it submits again with its cursor, to the same
//     daemon, after a random pause that doubles from some 20 ms to a second and
//     starts over with the next whole answer. Other refusals name their pause in
//     Retry-After.
//   - Restarted, it submits again with the cursor that it saved along with the
//     samples, or with none and takes everything anew.
package rollouts
