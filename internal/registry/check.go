package registry

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
)

// MaxSlots is the largest number of requests that an upstream can run at a time. It runs one request
// per connection, and one address can have at most this many connections to another.
const MaxSlots = math.MaxUint16

// Check returns an error if an upstream has a value that no upstream can have. It must not be
// registered then: sums of such numbers overflow, and an upstream with too many slots is never full.
func (u Upstream) Check() error {
	if u.Service == "" || u.DataCentre == "" {
		return errors.New("no service or data centre")
	}
	if at, err := netip.ParseAddrPort(u.Address); err != nil || at.Port() == 0 {
		return fmt.Errorf("address %q is no ip:port", u.Address)
	}
	if u.Slots < 0 || u.Slots > MaxSlots {
		return fmt.Errorf("%d slots, possible are 0 to %d", u.Slots, MaxSlots)
	}
	return nil
}
