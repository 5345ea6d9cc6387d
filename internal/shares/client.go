package shares

import "time"

const (
	// holdOff is the time for which a coordinator is not asked after a failed call. While another
	// one answers, each try of the preferred one costs an update of three that a table outlasts.
	holdOff = 2 * time.Second
	// maxChoices bounds the coordinators that are tried: daemons that use different ones know
	// only a part of the demand, and a third choice is needed only if two are lost.
	maxChoices = 3
)

// client decides which coordinator a daemon asks for one service, and when. It is pure and not
// safe for concurrent use.
type client struct {
	failed map[string]time.Duration // until when a coordinator is not asked, by address
	// current is the coordinator that last answered, or that was the first to fail.
	current string
	lost    bool // current has not answered the last call
}

func newClient() *client { return &client{failed: map[string]time.Duration{}} }

// choose returns the coordinator to ask, the first one that has not failed recently. If there is
// none, it returns false and the time after which to look again.
func (c *client) choose(coordinators []string, now time.Duration) (address string, wait time.Duration, ok bool) {
	wait = holdOff
	for _, address := range coordinators[:min(len(coordinators), maxChoices)] {
		until, failed := c.failed[address]
		if !failed || now >= until {
			return address, 0, true
		}
		wait = min(wait, until-now)
	}
	if len(coordinators) == 0 {
		wait = MinInterval
	}
	return "", max(wait, MinInterval), false
}

// succeeded records that a coordinator answered. It returns true if another one was in use or
// lost before.
func (c *client) succeeded(address string) (regained bool) {
	regained = c.lost || c.current != "" && c.current != address
	c.current, c.lost = address, false
	delete(c.failed, address)
	return regained
}

// failedCall records that a call to a coordinator failed. It returns true if that one was in use.
func (c *client) failedCall(address string, now time.Duration) (lost bool) {
	c.failed[address] = now + holdOff
	if c.current == "" {
		c.current = address
	}
	lost = !c.lost && c.current == address
	c.lost = c.lost || lost
	return lost
}
