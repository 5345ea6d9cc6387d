package lease

import (
	"hash/fnv"
	"slices"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// renewals of a lease that fit into its duration: two may fail.
const renewals = 3

// Want is an upstream that somebody has to hold the lease of.
type Want struct {
	Upstream ident.Upstream
	Owner    bool // this daemon is its owner by rendezvous hashing
}

// Plan returns the records to append now: one for all claims, one for all
// renewals. now is taken before the append, and leases count from it. A daemon
// claims what it owns at once, anything else only after its lease has lapsed for
// a while; it doesn't renew what it no longer owns and another will claim.
func (t *Table) Plan(wants []Want, now time.Time) []Record {
	var claim, renew []ident.Upstream
	for _, w := range wants {
		switch s := t.slot(w.Upstream); {
		case now.Before(t.asked[w.Upstream].Add(t.opts.Duration / renewals)):
		case s.nonce == t.opts.Nonce:
			if w.Owner {
				renew = append(renew, w.Upstream)
			}
		case t.mayClaim(s, w, now):
			claim = append(claim, w.Upstream)
		}
	}
	var records []Record
	records = t.add(records, Record{Upstreams: claim}, now)
	return t.add(records, Record{Renew: true, Upstreams: renew}, now)
}

// Release returns the record that gives up everything held, for a graceful stop.
// Nothing may be ordered after this call; it holds in this table at once.
func (t *Table) Release(now time.Time) (Record, bool) {
	held := t.Held()
	for _, up := range held {
		t.slots[up].nonce = ""
	}
	records := t.add(nil, Record{Release: true, Upstreams: held}, now)
	if len(records) == 0 {
		return Record{}, false
	}
	return records[0], true
}

// Trim forgets upstreams that left the configuration, once no order of another
// holder can arrive any more: the upstream may come back.
func (t *Table) Trim(keep func(ident.Upstream) bool, now time.Time) {
	for up, s := range t.slots {
		if !keep(up) && !now.Before(s.quietUntil()) {
			delete(t.slots, up)
			delete(t.asked, up)
		}
	}
}

func (t *Table) mayClaim(s *slot, w Want, now time.Time) bool {
	if w.Owner {
		return !now.Before(s.claimAfter)
	}
	if s.nonce == "" {
		return false // free, its owner will come
	}
	lapse := s.readAt.Add(2*s.duration + t.stagger(w.Upstream))
	return !now.Before(lapse)
}

// stagger spreads daemons that see the same lease lapse over one duration, so that
// the first one's claim is read before the others would write theirs.
func (t *Table) stagger(up ident.Upstream) time.Duration {
	h := fnv.New64a()
	h.Write([]byte(t.opts.Self))
	h.Write([]byte{0})
	h.Write([]byte(up))
	return time.Duration(h.Sum64() % uint64(t.opts.Duration))
}

// add completes a record and notes the moment before its append.
func (t *Table) add(records []Record, r Record, now time.Time) []Record {
	if len(r.Upstreams) == 0 {
		return records
	}
	slices.Sort(r.Upstreams)
	if len(r.Upstreams) > MaxUpstreams {
		r.Upstreams = r.Upstreams[:MaxUpstreams] // the rest follows with the next plan
	}
	t.seq++
	r.Holder, r.Nonce, r.Seq, r.Duration = t.opts.Self, t.opts.Nonce, t.seq, t.opts.Duration
	if !r.Release {
		t.started[r.Seq] = now
		for _, up := range r.Upstreams {
			t.asked[up] = now
		}
	}
	t.forgetStarts(now)
	return append(records, r)
}

// forgetStarts drops the starts of records so old that they grant nothing.
func (t *Table) forgetStarts(now time.Time) {
	for seq, start := range t.started {
		if now.Sub(start) > t.opts.Duration {
			delete(t.started, seq)
		}
	}
}
