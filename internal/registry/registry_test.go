package registry

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// upstream returns an upstream of service "s" with a weight version of model "m".
func upstream(id string, version int64) Upstream {
	return Upstream{ID: id, Service: "s", Address: "a-" + id, Models: map[string]int64{"m": version}}
}

// ids returns the IDs of the upstreams of service "s".
func ids(r *Registry) []string {
	var out []string
	for _, u := range r.ByService("s") {
		out = append(out, u.ID)
	}
	return out
}

// Guards against a daemon without any upstream after an outage of the store: their entries
// expire because the live upstreams cannot renew them.
func TestUpstreamsAreKeptThroughStoreOutage(t *testing.T) {
	g := NewWithT(t)
	r := New()
	r.Put(upstream("u1", 1))
	r.Put(upstream("u2", 1))
	r.StoreLost()
	r.Remove("u1", time.Second)
	r.StoreRecovered(5 * time.Second)
	r.Remove("u2", 5*time.Second)
	r.Expire(5*time.Second + RecoveryGrace/2)
	g.Expect(ids(r)).To(Equal([]string{"u1", "u2"}))
	r.Put(upstream("u1", 1)) // it is alive and registers again
	r.Expire(5*time.Second + RecoveryGrace)
	g.Expect(ids(r)).To(Equal([]string{"u1"}), "the other did not register again")
	r.Remove("u1", 10*time.Second)
	g.Expect(ids(r)).To(BeEmpty(), "without an outage a removal takes effect at once")
}

// Guards against an engine that looks stale again when an entry arrives that is older than its
// last known load of weights.
func TestVersionsOnlyIncrease(t *testing.T) {
	g := NewWithT(t)
	r := New()
	r.Put(upstream("u1", 1))
	r.RecordLoad("u1", 0, "m", 3)
	r.Put(upstream("u1", 2))
	u, ok := r.Get("u1")
	g.Expect(ok).To(BeTrue())
	g.Expect(u.Models).To(HaveKeyWithValue("m", int64(3)))
	r.RecordLoad("nobody", 0, "m", 3)
	g.Expect(ids(r)).To(Equal([]string{"u1"}))
}

func TestReplaceRemovesUpstreamsNotListed(t *testing.T) {
	g := NewWithT(t)
	r := New()
	r.Put(upstream("u1", 1))
	r.Replace([]Upstream{upstream("u2", 1), {ID: "x", Service: "other"}}, time.Second)
	g.Expect(ids(r)).To(Equal([]string{"u2"}))
}

func startedAt(id string, startedMS, version int64) Upstream {
	u := upstream(id, version)
	u.Started = startedMS
	return u
}

// Guards against attributing the state of a process to its successor with the same ID: a
// sample would be sent to weights that are not loaded. The entry, the report and the responses
// of the new process arrive in any order, together with late data of the old one.
func TestRestartWithSameID(t *testing.T) {
	g := NewWithT(t)
	r := New()
	g.Expect(r.Put(startedAt("u", 100, 5))).To(BeTrue())
	before, _ := r.Get("u")
	g.Expect(r.Put(startedAt("u", 200, 1))).To(BeTrue())
	after, _ := r.Get("u")
	g.Expect(after.Models).To(HaveKeyWithValue("m", int64(1)))
	g.Expect(after.Incarnation()).NotTo(Equal(before.Incarnation()))
	r.RecordLoad("u", 100, "m", 9)
	r.RecordServed("u", 100, "m", 9)
	g.Expect(r.Put(startedAt("u", 100, 9))).To(BeFalse())
	g.Expect(r.RecordRestart("u", 150, map[string]int64{"m": 9})).To(BeFalse())
	now, _ := r.Get("u")
	g.Expect(now).To(Equal(after), "data of an earlier start changes nothing")
	r.RecordLoad("u", 0, "m", 2)
	g.Expect(r.RecordRestart("u", 300, map[string]int64{"m": 1})).To(BeTrue())
	now, _ = r.Get("u")
	g.Expect(now.Started).To(Equal(int64(300)))
	g.Expect(now.Models).To(HaveKeyWithValue("m", int64(1)))
	g.Expect(r.RecordRestart("nobody", 300, nil)).To(BeFalse())
}

// Guards against a late entry of an earlier start that arrives after the upstream's entry was
// removed.
func TestNewestStartIsKeptAfterRemoval(t *testing.T) {
	g := NewWithT(t)
	r := New()
	r.Put(startedAt("u", 200, 1))
	r.Remove("u", time.Second)
	g.Expect(r.Put(startedAt("u", 100, 1))).To(BeFalse())
	g.Expect(ids(r)).To(BeEmpty())
	g.Expect(r.Put(startedAt("u", 200, 1))).To(BeTrue(), "the same process registers again")
	r.Remove("u", time.Second)
	r.Expire(2*time.Second + removedStartTTL)
	g.Expect(r.starts).To(BeEmpty())
}

// An upstream that reports no start time restarts without the weights that it had loaded. Its
// entries are merged with the known versions, so only its responses show the lower version.
func TestResponseLowersVersion(t *testing.T) {
	g := NewWithT(t)
	r := New()
	r.Put(upstream("u", 3))
	r.Put(upstream("u", 1))
	r.RecordServed("u", 0, "m", 1)
	u, _ := r.Get("u")
	g.Expect(u.Models).To(HaveKeyWithValue("m", int64(1)))
	r.RecordServed("nobody", 0, "m", 1)
}

func TestRejectDropsUpstreamDuringStoreOutage(t *testing.T) {
	g := NewWithT(t)
	r := New()
	r.Put(startedAt("u", 100, 1))
	r.StoreLost()
	r.Reject("u", time.Second)
	g.Expect(ids(r)).To(BeEmpty(), "also while removals are pending")
	g.Expect(r.Put(startedAt("u", 100, 1))).To(BeTrue())
}

// Upstreams renew their entries every second without a change. If a renewal counted as one,
// each would make every owner check all its engines and sort thousands of upstreams.
func TestRenewedEntryIsNoChange(t *testing.T) {
	g := NewWithT(t)
	r := New()
	r.Put(upstream("u1", 1))
	r.Put(upstream("u2", 1))
	before, list := r.Changes(), r.ByService("s")
	r.Put(upstream("u1", 1))
	r.RecordLoad("u1", 0, "m", 1)
	r.RecordServed("u1", 0, "m", 1)
	r.Remove("none", 0)
	g.Expect(r.Changes()).To(Equal(before))
	g.Expect(&r.ByService("s")[0]).To(BeIdenticalTo(&list[0]), "the list is not sorted again")
	for _, change := range []func(){
		func() { r.RecordLoad("u1", 0, "m", 2) },
		func() { r.Put(Upstream{ID: "u1", Service: "s", Address: "a-u1", Leaving: true}) },
		func() { r.Remove("u2", 0) },
		func() { r.Put(upstream("u3", 1)) },
	} {
		before = r.Changes()
		change()
		g.Expect(r.Changes()).To(BeNumerically(">", before))
	}
	g.Expect(ids(r)).To(Equal([]string{"u1", "u3"}))
	g.Expect(list).To(HaveLen(2), "a list that was returned before is not modified")
}

// Guards against an upstream that is hidden for good by one wrong digit of a start time: its own entries
// would all count as those of an earlier process.
func TestEntriesInARowTakeBackAWrongStart(t *testing.T) {
	g := NewWithT(t)
	r := New()
	g.Expect(r.Put(Upstream{ID: "a", Started: 100})).To(BeTrue())
	g.Expect(r.RecordRestart("a", 900, nil)).To(BeTrue())
	g.Expect(r.Put(Upstream{ID: "a", Started: 100})).To(BeFalse())
	g.Expect(r.Put(Upstream{ID: "a", Started: 900})).To(BeTrue(), "the newest start's entries begin the count anew")
	g.Expect(r.Put(Upstream{ID: "a", Started: 100})).To(BeFalse())
	g.Expect(r.Put(Upstream{ID: "a", Started: 99})).To(BeFalse())
	g.Expect(r.Put(Upstream{ID: "a", Started: 100, Leaving: true})).To(BeFalse())
	g.Expect(r.Put(Upstream{ID: "a", Started: 100, Leaving: true})).To(BeFalse())
	g.Expect(r.Put(Upstream{ID: "a", Started: 100, Leaving: true})).To(BeTrue())
	u, _ := r.Get("a")
	g.Expect(u.Started).To(BeEquivalentTo(100))
	g.Expect(u.Leaving).To(BeTrue())
}
