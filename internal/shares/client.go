package shares

import "time"

const (
	// firstHoldOff and maxHoldOff bound the time for which a coordinator is not asked after a
	// failed call. The time doubles with each failure in a row: while another coordinator
	// answers, each try of the preferred one costs an update.
	firstHoldOff = 2 * time.Second
	maxHoldOff   = 16 * time.Second
	// maxChoices bounds the coordinators that are tried. Two daemons that are cut off from
	// different ones share no demand, and a third choice is needed only if two are lost.
	maxChoices = 3
)

// client decides which coordinator a daemon asks for one service, and when. It is pure and not
// safe for concurrent use.
type client struct {
	failed map[string]failure // by address
	// current is the coordinator that last answered, or that was the first to fail.
	current string
	lost    bool // current has not answered the last call
}

type failure struct {
	until   time.Duration // when the address is tried again
	holdOff time.Duration
}

func newClient() *client { return &client{failed: map[string]failure{}} }

// choose returns the coordinator to ask, the first one that has not failed recently. If there is
// none, it returns false and the time after which to look again.
func (c *client) choose(coordinators []string, now time.Duration) (address string, wait time.Duration, ok bool) {
	wait = maxHoldOff
	for _, address := range coordinators[:min(len(coordinators), maxChoices)] {
		f, failed := c.failed[address]
		if !failed || now >= f.until {
			return address, 0, true
		}
		wait = min(wait, f.until-now)
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
	holdOff := min(max(2*c.failed[address].holdOff, firstHoldOff), maxHoldOff)
	c.failed[address] = failure{now + holdOff, holdOff}
	if c.current == "" {
		c.current = address
	}
	lost = !c.lost && c.current == address
	c.lost = c.lost || lost
	return lost
}
