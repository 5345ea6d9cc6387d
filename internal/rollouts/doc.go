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
package rollouts
