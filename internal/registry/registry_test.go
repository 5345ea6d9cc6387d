package registry

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func up(id string, version int64) Upstream {
	return Upstream{ID: id, Service: "s", Address: "a-" + id, Models: map[string]int64{"m": version}}
}

func ids(r *Registry) []string {
	var out []string
	for _, u := range r.Of("s") {
		out = append(out, u.ID)
	}
	return out
}

// The store is away for a while. Servers can't renew their entries, so they lapse;
// a daemon that took them for gone would have no server left when it returns.
func TestEntriesThatLapseWhileTheStoreIsAwayStay(t *testing.T) {
	g := NewWithT(t)
	r := New()
	r.Put(up("u1", 1))
	r.Put(up("u2", 1))
	r.StoreLost()
	r.Remove("u1", time.Second)
	r.StoreBack(5 * time.Second)
	r.Remove("u2", 5*time.Second)
	r.Expire(5*time.Second + ReturnGrace/2)
	g.Expect(ids(r)).To(Equal([]string{"u1", "u2"}))
	r.Put(up("u1", 1)) // it lives and is registered anew
	r.Expire(5*time.Second + ReturnGrace)
	g.Expect(ids(r)).To(Equal([]string{"u1"}), "the other is gone")
	r.Remove("u1", 10*time.Second)
	g.Expect(ids(r)).To(BeEmpty(), "in normal times a removal holds at once")
}

// A load is known before the engine's next entry says so. That older entry must not
// make the engine look stale again.
func TestVersionsOnlyGrow(t *testing.T) {
	g := NewWithT(t)
	r := New()
	r.Put(up("u1", 1))
	r.Loaded("u1", 0, "m", 3)
	r.Put(up("u1", 2))
	u, ok := r.Get("u1")
	g.Expect(ok).To(BeTrue())
	g.Expect(u.Models).To(HaveKeyWithValue("m", int64(3)))
	r.Loaded("nobody", 0, "m", 3)
	g.Expect(ids(r)).To(Equal([]string{"u1"}))
}

func TestReplaceRemovesWhatIsMissing(t *testing.T) {
	g := NewWithT(t)
	r := New()
	r.Put(up("u1", 1))
	r.Replace([]Upstream{up("u2", 1), {ID: "x", Service: "other"}}, time.Second)
	g.Expect(ids(r)).To(Equal([]string{"u2"}))
}

func started(id string, at, version int64) Upstream {
	u := up(id, version)
	u.Started = at
	return u
}

// A server starts again under its ID. Its entry, its own report or its answers say so in
// any order, beside late words of the process before. What a daemon remembers of the one
// before must not be taken for the new one's: a sample would be sent to weights that
// aren't there.
func TestRestartUnderOneID(t *testing.T) {
	g := NewWithT(t)
	r := New()
	g.Expect(r.Put(started("u", 100, 5))).To(BeTrue())
	before, _ := r.Get("u")
	g.Expect(r.Put(started("u", 200, 1))).To(BeTrue())
	after, _ := r.Get("u")
	g.Expect(after.Models).To(HaveKeyWithValue("m", int64(1)))
	g.Expect(after.Incarnation()).NotTo(Equal(before.Incarnation()))
	r.Loaded("u", 100, "m", 9)
	r.Serves("u", 100, "m", 9)
	g.Expect(r.Put(started("u", 100, 9))).To(BeFalse())
	g.Expect(r.Restarted("u", 150, map[string]int64{"m": 9})).To(BeFalse())
	now, _ := r.Get("u")
	g.Expect(now).To(Equal(after), "words of an earlier start change nothing")
	r.Loaded("u", 0, "m", 2)
	g.Expect(r.Restarted("u", 300, map[string]int64{"m": 1})).To(BeTrue())
	now, _ = r.Get("u")
	g.Expect(now.Started).To(Equal(int64(300)))
	g.Expect(now.Models).To(HaveKeyWithValue("m", int64(1)))
	g.Expect(r.Restarted("nobody", 300, nil)).To(BeFalse())
}

// A removed server's late entry comes after its removal, and after the next start's.
func TestStartsOutliveTheEntry(t *testing.T) {
	g := NewWithT(t)
	r := New()
	r.Put(started("u", 200, 1))
	r.Remove("u", time.Second)
	g.Expect(r.Put(started("u", 100, 1))).To(BeFalse())
	g.Expect(ids(r)).To(BeEmpty())
	g.Expect(r.Put(started("u", 200, 1))).To(BeTrue(), "the same process is registered anew")
	r.Remove("u", time.Second)
	r.Expire(2*time.Second + startMemory)
	g.Expect(r.starts).To(BeEmpty())
}

// A server that tells no start comes back without the weights that it had loaded. Its
// entries are merged with what was known, so only its answers show it.
func TestAnswerLowersAVersion(t *testing.T) {
	g := NewWithT(t)
	r := New()
	r.Put(up("u", 3))
	r.Put(up("u", 1))
	r.Serves("u", 0, "m", 1)
	u, _ := r.Get("u")
	g.Expect(u.Models).To(HaveKeyWithValue("m", int64(1)))
	r.Serves("nobody", 0, "m", 1)
}

func TestRejectedEntryEndsTheFormerOne(t *testing.T) {
	g := NewWithT(t)
	r := New()
	r.Put(started("u", 100, 1))
	r.StoreLost()
	r.Reject("u", time.Second)
	g.Expect(ids(r)).To(BeEmpty(), "also while removals are held back")
	g.Expect(r.Put(started("u", 100, 1))).To(BeTrue())
}

// Servers renew their entries every second with nothing new in them. Counted as changes,
// each makes every owner look at all its engines and sort thousands of upstreams anew.
func TestRenewedEntryIsNoChange(t *testing.T) {
	g := NewWithT(t)
	r := New()
	r.Put(up("u1", 1))
	r.Put(up("u2", 1))
	before, list := r.Changes(), r.Of("s")
	r.Put(up("u1", 1))
	r.Loaded("u1", 0, "m", 1)
	r.Serves("u1", 0, "m", 1)
	r.Remove("none", 0)
	g.Expect(r.Changes()).To(Equal(before))
	g.Expect(&r.Of("s")[0]).To(BeIdenticalTo(&list[0]), "nothing is sorted anew")
	for _, change := range []func(){
		func() { r.Loaded("u1", 0, "m", 2) },
		func() { r.Put(Upstream{ID: "u1", Service: "s", Address: "a-u1", Leaving: true}) },
		func() { r.Remove("u2", 0) },
		func() { r.Put(up("u3", 1)) },
	} {
		before = r.Changes()
		change()
		g.Expect(r.Changes()).To(BeNumerically(">", before))
	}
	g.Expect(ids(r)).To(Equal([]string{"u1", "u3"}))
	g.Expect(list).To(HaveLen(2), "a list that was given out stays as it was")
}
