// Package lease decides which daemon may send orders to which upstream. It is pure: the
// records of a lease stream of the log and monotonic time go in, records to append and
// permits come out.
//
// # Who holds a lease
//
// The order of the log decides: the newest valid record names the holder, and its offset is
// the fencing token. A claim always takes the lease over. A renewal is valid only while its
// nonce still holds the lease, or if no record of the lease is known. A release is valid
// only if it comes from the holder.
//
// # Upstreams that check the fencing token
//
// These upstreams reject orders of a former holder themselves, so a new holder sends orders
// at once. While the log is down, the holder with the highest known token keeps sending
// orders after its lease has expired: if another daemon took over, the upstream rejects
// them.
//
// # Upstreams that ignore the fencing token
//
// The holder's lease counts from before the append of the newest record that it has read
// back, and is checked just before each order. The upstream drops an order that it hasn't
// begun within OrderStartTimeout of the order's arrival. A new holder sends no order until
// Duration + OrderStartTimeout + TransitMargin after it read the former holder's newest
// record. While the log is down, these upstreams get no orders once the lease has expired,
// and keep serving what they serve.
//
// Let X be the former and Y the new holder, t the start of the append of X's newest valid
// record, and r >= t the time at which Y read it. X's last check is before t+Duration. Its
// order is begun before t+Duration+OrderStartTimeout+p, where p is the time from X's check
// to the order's arrival. Y's first order is sent after
// r+Duration+OrderStartTimeout+TransitMargin. So the orders overlap only if
// p > TransitMargin: if a process is frozen, or a packet delayed, for longer than
// TransitMargin between the check and the arrival. This window remains.
//
// The retention of the stream must be longer than Duration+OrderStartTimeout+TransitMargin.
// The monotonic clock must keep running while a process is stopped. It does under SIGSTOP.
// It doesn't while a whole VM is suspended, which therefore adds to p.
package lease

import (
	"slices"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// reclaimDelayDurations is how long a daemon that lost a lease doesn't claim it again, in
// lease durations. The new holder of an upstream that ignores fencing tokens has to wait for
// more than one duration before its first order.
const reclaimDelayDurations = 3

// Options of a Table. All fields are required.
type Options struct {
	Self              ident.VM      // this daemon's VM
	Nonce             string        // random, identifies this process
	Duration          time.Duration // of a lease
	OrderStartTimeout time.Duration // time after an order's arrival within which an upstream begins it or drops it
	TransitMargin     time.Duration // longest time assumed between the check of a lease and the order's arrival
}

// leaseState is the known state of one upstream's lease.
type leaseState struct {
	holder   ident.VM
	nonce    string // of the holder, "" if nobody holds the lease
	fence    ident.Offset
	readAt   time.Time     // when the newest valid record was read
	duration time.Duration // of the lease, from that record
	// ownExpiry is the end of the lease if this process holds it, counted from before the
	// append.
	ownExpiry time.Time
	// holderOrdersEnd is the time by which the last order of the current holder, if that is
	// another process, has been begun or dropped by an upstream that ignores fencing tokens.
	// formerOrdersEnd is the same for all earlier holders. They are separate because a release
	// shortens only the time of its own holder.
	holderOrdersEnd time.Time
	formerOrdersEnd time.Time
	// claimNotBefore is the earliest time of the next claim. It keeps two daemons that both
	// take themselves for the upstream's owner from taking the lease from each other forever.
	claimNotBefore time.Time
}

// otherOrdersEnd returns the time by which the last order of other processes has been begun
// or dropped.
func (s *leaseState) otherOrdersEnd() time.Time { return later(s.holderOrdersEnd, s.formerOrdersEnd) }

// Table holds one daemon's view of all leases in a lease stream. It is not safe for
// concurrent use.
type Table struct {
	opts   Options
	leases map[ident.Upstream]*leaseState
	seq    int64
	// appendStarts holds the time just before the append of each own record that wasn't read
	// back yet, by Seq.
	appendStarts map[int64]time.Time
	lastAppends  map[ident.Upstream]time.Time // time of the newest own append that names the upstream
}

// NewTable returns a table without leases.
func NewTable(opts Options) *Table {
	return &Table{
		opts:         opts,
		leases:       map[ident.Upstream]*leaseState{},
		appendStarts: map[int64]time.Time{},
		lastAppends:  map[ident.Upstream]time.Time{},
	}
}

// Apply applies the record at an offset. Records must be applied in log order. now is the
// monotonic time after the read of the record returned.
func (t *Table) Apply(offset ident.Offset, r Record, now time.Time) {
	for _, up := range r.Upstreams {
		s := t.leaseFor(up)
		switch {
		case r.Release:
			t.applyRelease(s, r, now)
		case r.Renew && s.fence != 0 && s.nonce != r.Nonce:
			// another process took the lease over, or it was released, before this renewal
		default:
			t.applyClaim(s, offset, r, now)
		}
	}
	if r.Nonce == t.opts.Nonce {
		delete(t.appendStarts, r.Seq)
	}
}

// applyClaim applies a claim or a valid renewal.
func (t *Table) applyClaim(s *leaseState, offset ident.Offset, r Record, now time.Time) {
	own := r.Nonce == t.opts.Nonce
	if !own && s.nonce == t.opts.Nonce {
		s.claimNotBefore = now.Add(reclaimDelayDurations * t.opts.Duration) // taken from this process
	}
	if s.nonce != r.Nonce {
		s.formerOrdersEnd = s.otherOrdersEnd()
		s.holderOrdersEnd = time.Time{}
	}
	s.holder, s.nonce, s.fence = r.Holder, r.Nonce, offset
	s.readAt, s.duration = now, r.Duration
	if !own {
		s.ownExpiry = time.Time{}
		s.holderOrdersEnd = now.Add(r.Duration + t.opts.OrderStartTimeout + t.opts.TransitMargin)
		return
	}
	if start, ok := t.appendStarts[r.Seq]; ok {
		s.ownExpiry = later(s.ownExpiry, start.Add(r.Duration))
	}
}

// applyRelease frees the lease. Its holder sends no more orders, so the next one has to wait
// only for orders in transit.
func (t *Table) applyRelease(s *leaseState, r Record, now time.Time) {
	if s.nonce != r.Nonce {
		return
	}
	s.nonce = ""
	s.ownExpiry = time.Time{}
	if r.Nonce != t.opts.Nonce {
		s.holderOrdersEnd = now.Add(t.opts.OrderStartTimeout + t.opts.TransitMargin)
	}
}

// Refusal is the reason why no order may be sent. The zero value means that one may be sent.
type Refusal int

// The refusals.
const (
	Permitted Refusal = iota
	NotHolder         // another process holds the lease, or none
	Lapsed            // this process's lease has expired and the upstream ignores fencing tokens
	Waiting           // orders of a former holder may still arrive, and the upstream ignores fencing tokens
)

var refusalNames = [...]string{"permitted", "not holder", "lapsed", "waiting for the former holder"}

// String returns a description of the refusal.
func (r Refusal) String() string { return refusalNames[r] }

// Permit says whether an order may be sent now.
type Permit struct {
	Refusal Refusal
	Fence   ident.Offset // fencing token to send with the order
	RetryAt time.Time    // when to ask again, if the refusal is Waiting
}

// OK reports whether the order may be sent.
func (p Permit) OK() bool { return p.Refusal == Permitted }

// Permit returns whether an order to the upstream may be sent now. It must be called just
// before each order, since TransitMargin has to cover the time between the check and the
// order.
func (t *Table) Permit(up ident.Upstream, checksFencing bool, now time.Time) Permit {
	s, ok := t.leases[up]
	switch {
	case !ok || s.nonce != t.opts.Nonce:
		return Permit{Refusal: NotHolder}
	case checksFencing:
		return Permit{Fence: s.fence}
	case !now.Before(s.ownExpiry):
		return Permit{Refusal: Lapsed}
	case now.Before(s.otherOrdersEnd()):
		return Permit{Refusal: Waiting, RetryAt: s.otherOrdersEnd()}
	}
	return Permit{Fence: s.fence}
}

// Holder returns the holder of the upstream's lease and the fencing token, according to the
// records read so far. It returns false if nobody holds the lease.
func (t *Table) Holder(up ident.Upstream) (vm ident.VM, fence ident.Offset, ok bool) {
	s, found := t.leases[up]
	if !found || s.nonce == "" {
		return "", 0, false
	}
	return s.holder, s.fence, true
}

// Held returns the upstreams whose lease this process holds, sorted.
func (t *Table) Held() []ident.Upstream {
	var held []ident.Upstream
	for up, s := range t.leases {
		if s.nonce == t.opts.Nonce {
			held = append(held, up)
		}
	}
	slices.Sort(held)
	return held
}

// leaseFor returns the state of an upstream's lease, which it creates if there is none.
func (t *Table) leaseFor(up ident.Upstream) *leaseState {
	s, ok := t.leases[up]
	if !ok {
		s = &leaseState{}
		t.leases[up] = s
	}
	return s
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
