package lease

import (
	"hash/fnv"
	"slices"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// renewalsPerLease is the number of renewals within the duration of a lease. Two of them may
// fail.
const renewalsPerLease = 3

// Candidate is an upstream whose lease must be held by some daemon.
type Candidate struct {
	Upstream ident.Upstream
	Owner    bool // rendezvous hashing assigns the upstream to this daemon
}

// Plan returns the records to append now: one for all claims and one for all renewals. now
// is the time before the append, from which the leases count. A daemon claims the upstreams
// that it owns at once, and others only some time after their lease has expired. It doesn't
// renew the lease of an upstream that it no longer owns, since the new owner will claim it.
func (t *Table) Plan(candidates []Candidate, now time.Time) []Record {
	var claims, renewals []ident.Upstream
	for _, candidate := range candidates {
		switch s := t.leaseFor(candidate.Upstream); {
		case now.Before(t.lastAppends[candidate.Upstream].Add(t.opts.Duration / renewalsPerLease)):
		case s.nonce == t.opts.Nonce:
			if candidate.Owner {
				renewals = append(renewals, candidate.Upstream)
			}
		case t.mayClaim(s, candidate, now):
			claims = append(claims, candidate.Upstream)
		}
	}
	var records []Record
	records = t.addRecord(records, Record{Upstreams: claims}, now)
	return t.addRecord(records, Record{Renew: true, Upstreams: renewals}, now)
}

// Release returns the record that releases all leases held, for a graceful stop, and false
// if none is held. No order may be sent after this call: the table no longer permits any.
func (t *Table) Release(now time.Time) (Record, bool) {
	held := t.Held()
	for _, up := range held {
		t.leases[up].nonce = ""
	}
	records := t.addRecord(nil, Record{Release: true, Upstreams: held}, now)
	if len(records) == 0 {
		return Record{}, false
	}
	return records[0], true
}

// Prune removes the leases of upstreams for which configured returns false, once no order of
// another holder can arrive any more. Until then they are kept, since the upstream may be
// configured again.
func (t *Table) Prune(configured func(ident.Upstream) bool, now time.Time) {
	for up, s := range t.leases {
		if !configured(up) && !now.Before(s.otherOrdersEnd()) {
			delete(t.leases, up)
			delete(t.lastAppends, up)
		}
	}
}

// mayClaim reports whether this daemon may claim the lease on a candidate that it doesn't
// hold.
func (t *Table) mayClaim(s *leaseState, candidate Candidate, now time.Time) bool {
	if candidate.Owner {
		return !now.Before(s.claimNotBefore)
	}
	if s.nonce == "" {
		return false // released: its owner will claim it
	}
	claimableAt := s.readAt.Add(2*s.duration + t.claimDelay(candidate.Upstream))
	return !now.Before(claimableAt)
}

// claimDelay returns a delay of up to one lease duration that depends on the daemon and the
// upstream. Daemons that see the same lease expire claim it one after the other, and read
// the first claim before they would append theirs.
func (t *Table) claimDelay(up ident.Upstream) time.Duration {
	h := fnv.New64a()
	h.Write([]byte(t.opts.Self))
	h.Write([]byte{0})
	h.Write([]byte(up))
	return time.Duration(h.Sum64() % uint64(t.opts.Duration))
}

// addRecord completes a record, notes the time before its append, and adds it to records
// unless it names no upstream.
func (t *Table) addRecord(records []Record, r Record, now time.Time) []Record {
	if len(r.Upstreams) == 0 {
		return records
	}
	slices.Sort(r.Upstreams)
	if len(r.Upstreams) > MaxUpstreams {
		r.Upstreams = r.Upstreams[:MaxUpstreams] // the rest is in the next plan
	}
	t.seq++
	r.Holder, r.Nonce, r.Seq, r.Duration = t.opts.Self, t.opts.Nonce, t.seq, t.opts.Duration
	if !r.Release {
		t.appendStarts[r.Seq] = now
		for _, up := range r.Upstreams {
			t.lastAppends[up] = now
		}
	}
	t.dropOldStarts(now)
	return append(records, r)
}

// dropOldStarts drops the append times of records whose leases would have expired already.
func (t *Table) dropOldStarts(now time.Time) {
	for seq, start := range t.appendStarts {
		if now.Sub(start) > t.opts.Duration {
			delete(t.appendStarts, seq)
		}
	}
}
