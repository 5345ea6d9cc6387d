package gateway

import "github.com/dogwoodflow/dogwoodflow/internal/retry"

// streamState decides how a stream continues after each send. It does no I/O.
//
// Invariants: a stream that is not resumable runs at most once; once the response header
// has been sent to the caller no other response can replace it, so the stream is either
// resumed or aborted.
type streamState struct {
	rule          retry.Limits
	sends         retry.Sends
	headerSent    bool  // the caller has the response header
	lastEventID   int   // ID of the last event forwarded to the caller, 0: none
	weightVersion int64 // model weight version that produced that event, 0: unknown
	// unconfirmed is set while the last events forwarded are those of a response that proved
	// malformed, and no other upstream has produced an event after them.
	unconfirmed bool
}

// streamAction is what to do after a send.
type streamAction int

const (
	tryNextUpstream streamAction = iota // send to another upstream, resuming after lastEventID
	refuseNotRun                        // report "not run": certainly no upstream ran the request
	failMayHaveRun                      // fail without claiming "not run": an upstream may have run the request
	abortStream                         // close the caller's connection, so that the stream does not look complete
)

// actionAfterFailure returns the action after a send that did not complete the stream.
// mayHaveRun is false only if the upstream certainly did not run the request.
func (s *streamState) actionAfterFailure(mayHaveRun bool) streamAction {
	if !mayHaveRun {
		s.sends.MarkNotRun()
	}
	if s.rule.StopCause(s.sends) == retry.None {
		return tryNextUpstream
	}
	return s.finalAction()
}

// finalAction returns the action when no further upstream may be used or none is left.
func (s *streamState) finalAction() streamAction {
	switch {
	case s.headerSent:
		return abortStream
	case s.sends.Runs == 0:
		return refuseNotRun
	default:
		return failMayHaveRun
	}
}

// recordEvent notes an event that was forwarded to the caller.
func (s *streamState) recordEvent(e Event) {
	s.unconfirmed = false
	s.lastEventID = e.ID
	if e.Version != 0 {
		s.weightVersion = e.Version
	}
}
