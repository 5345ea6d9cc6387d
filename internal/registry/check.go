package registry

import (
	"fmt"
	"math"
	"net/netip"
	"strings"
	"time"
)

// MaxSlots is the largest number of requests that an upstream can run at a time. It runs one request
// per connection, and one address can have at most this many connections to another.
const MaxSlots = math.MaxUint16

// MaxStarted is the end of the year 9999 in Unix ms, the last one that a date has four digits for.
const MaxStarted = 253_402_300_799_999

// MaxVersion is the largest weight version. Versions are counted from 1, one for each training step.
const MaxVersion = math.MaxInt32

// maxNameBytes bounds names. A key of the store has at most 255 bytes, and keys are made of names with a
// prefix.
const maxNameBytes = 200

// Check returns an error if an upstream has a value that no upstream can have. It must not be
// registered then: sums of such numbers overflow, and an upstream with too many slots is never full.
func (u Upstream) Check() error {
	if !isName(u.Service) || !isName(u.DataCentre) {
		return fmt.Errorf("names of service and data centre have %d and %d bytes, possible are 1 to %d", len(u.Service), len(u.DataCentre), maxNameBytes)
	}
	if !isName(u.ID) || strings.ContainsFunc(u.ID, func(c rune) bool { return c <= ' ' || c > '~' }) {
		return fmt.Errorf("ID %.64q, possible are 1 to %d printable characters", u.ID, maxNameBytes)
	}
	if at, err := netip.ParseAddrPort(u.Address); err != nil || at.Port() == 0 {
		return fmt.Errorf("address %.64q is no ip:port", u.Address)
	}
	if u.Slots < 0 || u.Slots > MaxSlots {
		return fmt.Errorf("%d slots, possible are 0 to %d", u.Slots, MaxSlots)
	}
	if u.Started < 0 || u.Started > MaxStarted {
		return fmt.Errorf("started at %d ms, possible are 0 to %d", u.Started, MaxStarted)
	}
	for model, v := range u.Models {
		if model == "" || v < 0 || v > MaxVersion {
			return fmt.Errorf("version %d of model %.64q, possible are 0 to %d of a named model", v, model, MaxVersion)
		}
	}
	return nil
}

func isName(name string) bool { return name != "" && len(name) <= maxNameBytes }

// Check is like Upstream.Check. In addition the upstream must not have more slots than its service's
// upstreams accept connections: each request takes one.
func (r *Registry) Check(u Upstream) error {
	if err := u.Check(); err != nil {
		return err
	}
	if r.exceedsConnections(u) {
		return fmt.Errorf("%d slots, upstreams of %s accept %d connections", u.Slots, u.Service, r.maxConnections[u.Service])
	}
	return nil
}

func (r *Registry) exceedsConnections(u Upstream) bool {
	limit := r.maxConnections[u.Service]
	return limit > 0 && u.Slots > limit
}

// SetMaxConnections sets how many connections an upstream of each service accepts; it is unknown if 0
// or missing. It drops the upstreams that have more slots, and returns them.
func (r *Registry) SetMaxConnections(byService map[string]int, now time.Duration) []Upstream {
	r.maxConnections = byService
	var dropped []Upstream
	for _, u := range r.upstreams {
		if r.exceedsConnections(u) {
			dropped = append(dropped, u)
			r.Reject(u.ID, now)
		}
	}
	return sortByID(dropped)
}
