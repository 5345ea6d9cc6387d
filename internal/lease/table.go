// Package lease decides which daemon may give orders to which upstream. It is
// pure: records of one of the log's streams of leases and monotonic time go in, records to
// append and permits come out.
//
// # Who holds a lease
//
// The log's order decides: the newest record that counts names the holder, and
// its offset is the fencing number. A claim always takes over; a renewal counts
// only while its nonce still holds; a release counts only from the holder.
//
// # Upstreams that check the fencing number
//
// They refuse orders of a former holder themselves. A new holder orders at once.
// While the log is down, the holder of the highest number known goes on after
// its lease has run out: if another took over, the upstream refuses.
//
// # Upstreams that ignore it
//
// The holder's lease counts from before the append of its newest record that it
// read back, and it is checked just before each order. An order that the
// upstream hasn't begun OrderDeadline after its arrival is dropped there. A new
// holder sends nothing until Duration + OrderDeadline + Margin after it read the
// former holder's newest record. While the log is down such upstreams get no
// orders once the lease has run out; they go on serving what they serve.
//
// With X the former and Y the new holder, t the start of the append of X's newest
// record that counts, and r >= t the moment at which Y read it: X's last check is
// before t+Duration, its order is begun before t+Duration+OrderDeadline+p, where p
// is the time from X's check to the order's arrival. Y's first order is sent
// after r+Duration+OrderDeadline+Margin. So they overlap only if p > Margin:
// a process frozen, or a packet delayed, for longer than Margin between the check
// and the arrival. That is the window left.
//
// The stream's retention must be longer than Duration+OrderDeadline+Margin, and
// the monotonic clock must go on while a process is stopped (it does under
// SIGSTOP; it doesn't while a whole VM is suspended, which therefore widens p).
package lease

import (
	"slices"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// reclaimDurations is how many durations a daemon that lost a lease leaves it
// alone: the new holder of an upstream that ignores fencing needs more than
// one before its first order.
const reclaimDurations = 3

// Options of a Table. All fields are required.
type Options struct {
	Self          ident.VM
	Nonce         string        // random, one a process
	Duration      time.Duration // of a lease
	OrderDeadline time.Duration // within which an upstream begins an order or drops it
	Margin        time.Duration // for the way from the check to the upstream
}

// slot is what is known of one upstream's lease.
type slot struct {
	holder   ident.VM
	nonce    string // "" when nobody holds the lease
	fence    ident.Offset
	readAt   time.Time     // when the newest record that counts was read
	duration time.Duration // that it names
	// ownUntil ends our own lease; it counts from before the append.
	ownUntil time.Time
	// holderQuiet and formerQuiet are when the last order of the present holder (if it
	// isn't us) and of all earlier ones has been begun or dropped, for upstreams
	// that ignore the fencing number. They are apart because a release shortens
	// only what its own holder may still send.
	holderQuiet time.Time
	formerQuiet time.Time
	// claimAfter keeps two daemons that both think they own the upstream from
	// taking it from each other without end.
	claimAfter time.Time
}

func (s *slot) quietUntil() time.Time { return later(s.holderQuiet, s.formerQuiet) }

// Table is one daemon's view of all leases. Not safe for concurrent use.
type Table struct {
	opts  Options
	slots map[ident.Upstream]*slot
	seq   int64
	// started holds, by Seq, the moment before the append of our records that weren't
	// read back yet.
	started map[int64]time.Time
	asked   map[ident.Upstream]time.Time // newest own append that names the upstream
}

// NewTable returns a table that knows of no lease.
func NewTable(opts Options) *Table {
	return &Table{
		opts:    opts,
		slots:   map[ident.Upstream]*slot{},
		started: map[int64]time.Time{},
		asked:   map[ident.Upstream]time.Time{},
	}
}

// Read folds in the record at an offset, in the log's order. now is the
// monotonic time after the read returned.
func (t *Table) Read(offset ident.Offset, r Record, now time.Time) {
	for _, up := range r.Upstreams {
		s := t.slot(up)
		switch {
		case r.Release:
			t.readRelease(s, r, now)
		case r.Renew && s.fence != 0 && s.nonce != r.Nonce:
			// taken over or released before this renewal arrived
		default:
			t.readClaim(s, offset, r, now)
		}
	}
	if r.Nonce == t.opts.Nonce {
		delete(t.started, r.Seq)
	}
}

func (t *Table) readClaim(s *slot, offset ident.Offset, r Record, now time.Time) {
	own := r.Nonce == t.opts.Nonce
	if !own && s.nonce == t.opts.Nonce {
		s.claimAfter = now.Add(reclaimDurations * t.opts.Duration) // taken from us
	}
	if s.nonce != r.Nonce {
		s.formerQuiet = s.quietUntil()
		s.holderQuiet = time.Time{}
	}
	s.holder, s.nonce, s.fence = r.Holder, r.Nonce, offset
	s.readAt, s.duration = now, r.Duration
	if !own {
		s.ownUntil = time.Time{}
		s.holderQuiet = now.Add(r.Duration + t.opts.OrderDeadline + t.opts.Margin)
		return
	}
	if start, ok := t.started[r.Seq]; ok {
		s.ownUntil = later(s.ownUntil, start.Add(r.Duration))
	}
}

// readRelease frees the lease. Its holder has promised to send nothing more, so
// only orders on their way are waited for.
func (t *Table) readRelease(s *slot, r Record, now time.Time) {
	if s.nonce != r.Nonce {
		return
	}
	s.nonce = ""
	s.ownUntil = time.Time{}
	if r.Nonce != t.opts.Nonce {
		s.holderQuiet = now.Add(t.opts.OrderDeadline + t.opts.Margin)
	}
}

// Refusal says why no order may be sent. The zero value permits.
type Refusal int

// The refusals.
const (
	Permitted Refusal = iota
	NotHolder         // another daemon holds the lease, or nobody
	Lapsed            // our lease ran out and the upstream ignores fencing
	Waiting           // a former holder's orders may still arrive
)

var refusalNames = [...]string{"permitted", "not holder", "lapsed", "waiting for the former holder"}

// String returns the refusal in words.
func (r Refusal) String() string { return refusalNames[r] }

// Permit is the answer to whether an order may be sent now.
type Permit struct {
	Refusal Refusal
	Fence   ident.Offset // to send with the order
	Until   time.Time    // Waiting: when to ask again
}

// OK reports whether the order may be sent.
func (p Permit) OK() bool { return p.Refusal == Permitted }

// Permit says whether an order to the upstream may be sent at this moment. Ask
// just before each order: time that passes between the answer and the order is
// the window that Margin has to cover.
func (t *Table) Permit(up ident.Upstream, checksFencing bool, now time.Time) Permit {
	s, ok := t.slots[up]
	switch {
	case !ok || s.nonce != t.opts.Nonce:
		return Permit{Refusal: NotHolder}
	case checksFencing:
		return Permit{Fence: s.fence}
	case !now.Before(s.ownUntil):
		return Permit{Refusal: Lapsed}
	case now.Before(s.quietUntil()):
		return Permit{Refusal: Waiting, Until: s.quietUntil()}
	}
	return Permit{Fence: s.fence}
}

// Holder returns who holds the upstream's lease, as far as the log was read.
func (t *Table) Holder(up ident.Upstream) (vm ident.VM, fence ident.Offset, ok bool) {
	s, found := t.slots[up]
	if !found || s.nonce == "" {
		return "", 0, false
	}
	return s.holder, s.fence, true
}

// Held returns the upstreams whose lease this process holds, sorted.
func (t *Table) Held() []ident.Upstream {
	var held []ident.Upstream
	for up, s := range t.slots {
		if s.nonce == t.opts.Nonce {
			held = append(held, up)
		}
	}
	slices.Sort(held)
	return held
}

func (t *Table) slot(up ident.Upstream) *slot {
	s, ok := t.slots[up]
	if !ok {
		s = &slot{}
		t.slots[up] = s
	}
	return s
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
