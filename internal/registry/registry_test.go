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
	r.Loaded("u1", "m", 3)
	r.Put(up("u1", 2))
	u, ok := r.Get("u1")
	g.Expect(ok).To(BeTrue())
	g.Expect(u.Models).To(HaveKeyWithValue("m", int64(3)))
	r.Loaded("nobody", "m", 3)
	g.Expect(ids(r)).To(Equal([]string{"u1"}))
}

func TestReplaceRemovesWhatIsMissing(t *testing.T) {
	g := NewWithT(t)
	r := New()
	r.Put(up("u1", 1))
	r.Replace([]Upstream{up("u2", 1), {ID: "x", Service: "other"}}, time.Second)
	g.Expect(ids(r)).To(Equal([]string{"u2"}))
}
