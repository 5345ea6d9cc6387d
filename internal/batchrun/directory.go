package batchrun

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
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
	// backgroundAt is when refreshInBackground last began a read, 0 for never.
	backgroundAt time.Duration
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

// coordinatorsRefreshInterval is the time between two reads of the list for Coordinators. A daemon
// that no longer owns the partition can go on as coordinator, so the list need not be newer. It
// also bounds the calls to a store that is down.
const coordinatorsRefreshInterval = 3 * time.Second

// Coordinators returns the addresses of the partitions' owners, each once, beginning with that of
// partition hash(key) mod partitions. It is the same at all daemons whose lists are up to date. A
// list that is out of date is used while it is read again, and if the store is down. Without any
// list, Coordinators waits for one until the context ends.
func (s *Service) Coordinators(ctx context.Context, key string) []string {
	s.directory.refreshInBackground(ctx, s.options.Now())
	owners := s.directory.lastKnown()
	if len(owners) == 0 || s.options.Partitions == 0 {
		return nil
	}
	first := int(xxhash.Sum64String(key) % uint64(s.options.Partitions))
	var out []string
	for n := range s.options.Partitions {
		if address, ok := owners[(first+n)%s.options.Partitions]; ok && !slices.Contains(out, address) {
			out = append(out, address)
		}
	}
	return out
}

// refreshInBackground reads the list again if it is older than coordinatorsRefreshInterval. It
// waits for the read, until the context ends, only if no list is known.
func (d *directory) refreshInBackground(ctx context.Context, now time.Duration) {
	d.mu.Lock()
	newest := max(d.readAt, d.backgroundAt)
	due := newest == 0 || now-newest >= coordinatorsRefreshInterval
	if due {
		d.backgroundAt = now
	}
	known := d.addresses != nil
	d.mu.Unlock()
	if !due {
		return
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		// The read may be shared with other callers, so it must not end before theirs would.
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), askTimeout)
		defer cancel()
		_, _ = d.refresh(ctx, now) // without an answer, the last known list is used
	}()
	if known {
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
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
