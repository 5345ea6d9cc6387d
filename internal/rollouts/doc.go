// Package rollouts runs training steps. It accepts steps from trainers, drives a
// rollout.Step for each of them with a Generator and a Scorer, and answers the
// trainers' pulls.
//
// The steps of a job belong to the daemon that Peers returns as the job's owner, and
// the other daemons forward requests to it. This is an optimisation and isn't needed
// for correctness: the trainer's cursor says what the trainer holds, so any daemon, or
// two at the same time, can answer. A daemon that can't reach the owner accepts the step
// itself. A daemon that is asked for a step it doesn't know answers UnknownStep, and
// the trainer submits the step again, since it has the prompts and waits for the step
// anyway.
//
// A crash, a change of owner or a drain loses work: samples that were being generated
// or hadn't been pulled. It never loses a group that the trainer accepted and never
// delivers one twice, because the trainer's cursor contains the group.
//
// # Protocol for trainers
//
// A trainer that follows these rules gets each sample exactly once, whatever fails:
//
//   - It submits a step (PUT), then pulls until it holds every group. It has one pull
//     outstanding at a time, on a dedicated connection.
//   - Each pull contains the trainer's cursor, which is the set of groups that it holds.
//     The trainer accepts an answer only as a whole, and only if it parses to its end
//     with "end":true, is the answer to the trainer's newest pull, and has a judged_by
//     that isn't below the newest version that the trainer knows on receipt. It discards
//     any other answer and pulls again.
//   - It keeps using the daemon that accepted the submission until a call to it fails,
//     and only then gets another one from the load balancer. While the daemons disagree
//     about a job's owner (in their first seconds, or during a network partition),
//     trying each daemon in turn would find one after another that doesn't know the step.
//   - After a 404 (step unknown) it submits the step again with its cursor, to the same
//     daemon, after a random delay. The delay doubles from about 20 ms up to a second and
//     is reset by the next complete answer. Other refusals specify their delay in
//     Retry-After.
//   - After a restart it submits the step again, either with the cursor that it saved
//     together with the samples, or without a cursor to get every group again.
package rollouts
