package batchrun

import (
	"context"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/dogwoodflow/dogwoodflow/internal/store"
)

// ownersMaxAge is how long the cached list of owners is used. Partitions move rarely, and a
// daemon that is asked for a partition it no longer owns says so, after which the list is
// read again.
const ownersMaxAge = 2 * time.Second

// directory caches the addresses of the partitions' owners. It reads the group's list only
// when a call has to be forwarded. It is safe for concurrent use.
type directory struct {
	membership store.Membership
	refreshes  singleflight.Group

	mu        sync.Mutex
	addresses map[int]string // by partition
	readAt    time.Duration  // when addresses was read
}

func newDirectory(m store.Membership) *directory { return &directory{membership: m} }

// cached returns the addresses by partition, nil if they weren't read within ownersMaxAge.
func (d *directory) cached(now time.Duration) map[int]string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now-d.readAt > ownersMaxAge {
		return nil
	}
	return d.addresses
}

// lastKnown returns the addresses of the last read, however old; nil if there was none.
func (d *directory) lastKnown() map[int]string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.addresses
}

// refresh reads the list again. Concurrent callers share one read.
func (d *directory) refresh(ctx context.Context, now time.Duration) (map[int]string, error) {
	result, err, _ := d.refreshes.Do(ownersGroup, func() (any, error) {
		owned, err := d.membership.Owners(ctx, ownersGroup)
		if err != nil {
			return nil, err
		}
		addresses := map[int]string{}
		for _, o := range owned {
			if address := memberAddress(o.Member); address != "" {
				addresses[o.Partition] = address
			}
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		d.addresses, d.readAt = addresses, now
		return addresses, nil
	})
	if err != nil {
		return nil, err
	}
	return result.(map[int]string), nil
}

const (
	// memberSeparator separates the parts of a member's name: its VM, an ID of its process,
	// and the address where other daemons reach it.
	memberSeparator = "/"
	// smallSuffix ends the name of a member on a small VM.
	smallSuffix = memberSeparator + "small"
)

// memberName returns the name of a process in the owners group.
func memberName(vm, process, address string, small bool) string {
	name := vm + memberSeparator + process + memberSeparator + address
	if small {
		name += smallSuffix
	}
	return name
}

// memberAddress returns the address in a member's name, "" if there is none.
func memberAddress(member string) string {
	member = strings.TrimSuffix(member, smallSuffix)
	at := strings.LastIndex(member, memberSeparator)
	if at < 0 {
		return ""
	}
	return member[at+1:]
}
