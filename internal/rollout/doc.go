// Package rollout decides how one training step's samples are made and handed
// over. It is pure: Step.Step takes one event and the time and returns the
// actions to run; it does no I/O, reads no clock and starts no goroutine. A
// recorded session replayed gives the same actions. A Step isn't safe for
// concurrent use.
//
// What holds, whatever the order of events:
//
//   - A group is delivered whole or as failed, never in part, and never when
//     the pull's cursor names it. The trainer's cursor alone says what it holds;
//     that a group was sent proves nothing, since the answer may have been cut.
//   - No delivered sample holds a token of a version older than the newest
//     known one minus the bound, judged at the Pull event.
//   - A sample becomes deliverable only if every token has a version.
//   - The result of an attempt that was given up is ignored.
//
// Groups aren't over-provisioned: exactly Spec.GroupSize samples are made of
// each prompt. Making more and delivering the first to end would cut the tail
// further but bias the samples towards short ones. The last ones to start are
// marked as stragglers instead, so that dispatch hedges them: it alone knows
// which upstream the first copy runs on.
package rollout
