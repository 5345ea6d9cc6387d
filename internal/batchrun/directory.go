package batchrun

import (
	"context"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/dogwoodflow/dogwoodflow/internal/store"
)

// ownersLife is how long the list of owners is used without being read again. A
// partition moves rarely; an owner that lost it says so, and the list is read anew.
const ownersLife = 2 * time.Second

// directory knows where the owners of the partitions are reached. It reads the group's
// list only when a call has to be passed on. It is safe for concurrent use.
type directory struct {
	membership store.Membership
	reads      singleflight.Group

	mu        sync.Mutex
	addresses map[int]string // by partition
	at        time.Duration  // when it was read
}

func newDirectory(m store.Membership) *directory { return &directory{membership: m} }

// known returns the addresses by partition, nil if they aren't known or old.
func (d *directory) known(now time.Duration) map[int]string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now-d.at > ownersLife {
		return nil
	}
	return d.addresses
}

// last returns the addresses as they were read last, whatever their age: nil if never.
func (d *directory) last() map[int]string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.addresses
}

// read reads the list anew; callers at one moment share a read.
func (d *directory) read(ctx context.Context, now time.Duration) (map[int]string, error) {
	result, err, _ := d.reads.Do(ownersGroup, func() (any, error) {
		owned, err := d.membership.Owners(ctx, ownersGroup)
		if err != nil {
			return nil, err
		}
		addresses := map[int]string{}
		for _, o := range owned {
			if address := addressOf(o.Member); address != "" {
				addresses[o.Part] = address
			}
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		d.addresses, d.at = addresses, now
		return addresses, nil
	})
	if err != nil {
		return nil, err
	}
	return result.(map[int]string), nil
}

const (
	// memberSeparator is between the parts of a member's name: its VM, an ID of its
	// process, and the address where other daemons reach it.
	memberSeparator = "/"
	// smallMark ends the name of a member on a small VM.
	smallMark = memberSeparator + "small"
)

// memberName is the name of a process in the owners' group.
func memberName(vm, process, address string, small bool) string {
	name := vm + memberSeparator + process + memberSeparator + address
	if small {
		name += smallMark
	}
	return name
}

// addressOf is where a member is reached, "" if its name doesn't tell.
func addressOf(member string) string {
	member = strings.TrimSuffix(member, smallMark)
	at := strings.LastIndex(member, memberSeparator)
	if at < 0 {
		return ""
	}
	return member[at+1:]
}
