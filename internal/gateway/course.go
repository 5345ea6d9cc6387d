package gateway

import "github.com/dogwoodflow/dogwoodflow/internal/retry"

// course is what the next step of a stream depends on. It does no I/O.
//
// Invariants: a stream that may not be resumed runs at most once; after the caller
// has the header no other answer can follow, so the stream goes on or breaks off.
type course struct {
	rule    retry.Rule
	sends   retry.Sends
	started bool  // the caller has the answer's header
	after   int   // ID of the last event passed on
	version int64 // of the weights that made it, 0: unknown
}

type streamStep int

const (
	sendOn      streamStep = iota // to another upstream, from the event behind after
	refuseClean                   // "not run": no upstream can have run it
	giveUp                        // it may have run: an answer that promises nothing
	breakOff                      // end the caller's connection, so that the stream doesn't look whole
)

// afterFailure takes the end of a send that brought no whole stream.
func (c *course) afterFailure(mayHaveRun bool) streamStep {
	if !mayHaveRun {
		c.sends.NotRun()
	}
	if c.rule.Forbids(c.sends) == retry.None {
		return sendOn
	}
	return c.afterLast()
}

// afterLast is the step when no other upstream may or can be asked.
func (c *course) afterLast() streamStep {
	switch {
	case c.started:
		return breakOff
	case c.sends.Runs == 0:
		return refuseClean
	default:
		return giveUp
	}
}

// passed counts an event that the caller got.
func (c *course) passed(e Event) {
	c.after = e.ID
	if e.Version != 0 {
		c.version = e.Version
	}
}
