package peer

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/dogwoodflow/dogwoodflow/internal/dispatch"
	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/membership"
	"github.com/dogwoodflow/dogwoodflow/internal/peer/peerpb"
	"github.com/dogwoodflow/dogwoodflow/internal/poison"

	"github.com/dogwoodflow/dogwoodflow/internal/golden"
)

func upstreamName(i int) ident.Upstream {
	return ident.Upstream(fmt.Sprintf("engine-%04d.production.data-centre-07", i))
}

// wander changes a few things of a snapshot at random.
func wander(r *rand.Rand, s *Snapshot, upstreams int) {
	*s = Snapshot{
		Dispatch: dispatch.Digest{
			InFlight: maps.Clone(s.Dispatch.InFlight), Leaving: slices.Clone(s.Dispatch.Leaving), Down: slices.Clone(s.Dispatch.Down),
			Poison: slices.Clone(s.Dispatch.Poison), Serving: maps.Clone(s.Dispatch.Serving),
		},
		Published: maps.Clone(s.Published), Config: s.Config, Draining: s.Draining, HLC: s.HLC + 1, Known: s.Known,
	}
	up := upstreamName(r.IntN(upstreams))
	switch r.IntN(10) {
	case 9:
		i := r.IntN(4)
		vm := ident.VM(fmt.Sprintf("vm%d", i))
		s.Known = []membership.Contact{{VM: vm, DataCentre: "dc", Address: fmt.Sprint(r.IntN(3))}}
	case 0:
		s.Dispatch.Leaving = append(s.Dispatch.Leaving, up)
	case 1:
		s.Dispatch.Down = slices.DeleteFunc(s.Dispatch.Down, func(u ident.Upstream) bool { return u == up })
	case 2:
		s.Dispatch.Down = append(s.Dispatch.Down, up)
	case 3:
		f := poison.Fingerprint(r.Uint64N(5))
		s.Dispatch.Poison = slices.DeleteFunc(s.Dispatch.Poison, func(m poison.Mark) bool { return m.Fingerprint == f })
		if r.IntN(2) == 0 {
			s.Dispatch.Poison = append(s.Dispatch.Poison, poison.Mark{
				Fingerprint: f, Deaths: []poison.Death{{Upstream: up, BootID: "b"}}, Expires: time.UnixMilli(r.Int64N(1e12) + 1).UTC(), TrialVM: "vm",
			})
		}
	case 4:
		if r.IntN(3) == 0 {
			delete(s.Dispatch.Serving, up)
		} else {
			s.Dispatch.Serving[up] = map[ident.Model]ident.Version{"m": ident.Version(r.Int64N(9) + 1)}
		}
	case 5:
		s.Published["m"] = ident.Version(r.Int64N(9) + 1)
		s.Config.Through++
	default:
		s.Dispatch.InFlight[up] = r.IntN(30)
	}
}

func newSnapshot() Snapshot {
	return Snapshot{
		Dispatch:  dispatch.Digest{InFlight: map[ident.Upstream]int{}, Serving: map[ident.Upstream]map[ident.Model]ident.Version{}},
		Published: map[ident.Model]ident.Version{},
	}
}

// set is the sorted distinct names, never nil.
func set(names []ident.Upstream) []ident.Upstream {
	sorted := append([]ident.Upstream{}, names...)
	slices.Sort(sorted)
	return slices.Compact(sorted)
}

func byFingerprint(marks []poison.Mark) map[poison.Fingerprint]poison.Mark {
	out := map[poison.Fingerprint]poison.Mark{}
	for _, m := range marks {
		out[m.Fingerprint] = m
	}
	return out
}

// expectSame is the naive partner: what arrives is the snapshot itself, but for
// in-flight counts, which may lag by the threshold.
func expectSame(got, want Snapshot, exact bool) {
	GinkgoHelper()
	for _, up := range unionKeys(got.Dispatch.InFlight, want.Dispatch.InFlight) {
		have, should := got.Dispatch.InFlight[up], want.Dispatch.InFlight[up]
		if exact {
			Expect(have).To(Equal(should))
		}
		Expect(worthSaying(have, should)).To(BeFalse(), "%s: %d for %d", up, have, should)
	}
	Expect(set(got.Dispatch.Leaving)).To(Equal(set(want.Dispatch.Leaving)))
	Expect(set(got.Dispatch.Down)).To(Equal(set(want.Dispatch.Down)))
	Expect(byFingerprint(got.Dispatch.Poison)).To(Equal(byFingerprint(want.Dispatch.Poison)))
	Expect(got.Dispatch.Serving).To(Equal(want.Dispatch.Serving))
	Expect(slices.Equal(got.Known, want.Known)).To(BeTrue())
	Expect(got.Published).To(Equal(want.Published))
	Expect([]any{got.Config, got.Draining, got.HLC}).To(Equal([]any{want.Config, want.Draining, want.HLC}))
}

// onWire passes a digest through its bytes.
func onWire(d *peerpb.Digest) (*peerpb.Digest, int) {
	data, err := proto.Marshal(d)
	Expect(err).NotTo(HaveOccurred())
	back := &peerpb.Digest{}
	Expect(proto.Unmarshal(data, back)).To(Succeed())
	return back, len(data)
}

var _ = Describe("digests", func() {
	It("arrive as the snapshots they were made of, in random sessions", func() {
		for seed := range uint64(40) {
			r := rand.New(rand.NewPCG(seed, 3))
			encoder, decoder, snapshot := NewEncoder(), NewDecoder(), newSnapshot()
			for i := range 300 {
				wander(r, &snapshot, 20+int(seed)*5)
				detail := Detail(r.IntN(40))
				if i == 0 {
					detail = Full
				} else if detail > Full {
					detail = Delta
				}
				d, news := encoder.Encode(snapshot, detail)
				if !news {
					continue // dropped, as a link does
				}
				back, _ := onWire(d)
				got, err := decoder.Decode(back)
				Expect(err).NotTo(HaveOccurred())
				expectSame(got, snapshot, detail != Delta)
			}
		}
	})

	It("refuse a stream that doesn't begin with a full one, and names out of range", func() {
		_, err := NewDecoder().Decode(&peerpb.Digest{})
		Expect(err).To(MatchError(ErrBadDigest))
		_, err = NewDecoder().Decode(&peerpb.Digest{Full: true, InFlight: []uint32{7, 1}})
		Expect(err).To(MatchError(ErrBadDigest))
	})

	// Upstreams are replaced all day; a stream that lives for weeks mustn't
	// carry the names of all that ever were.
	It("drop the names of upstreams that are gone", func() {
		encoder, decoder := NewEncoder(), NewDecoder()
		for day := range 20 {
			snapshot := newSnapshot()
			for i := range 30 {
				snapshot.Dispatch.InFlight[upstreamName(day*30+i)] = 1
			}
			d, _ := encoder.Encode(snapshot, Full)
			got, err := decoder.Decode(d)
			Expect(err).NotTo(HaveOccurred())
			expectSame(got, snapshot, true)
		}
		Expect(len(decoder.names)).To(BeNumerically("<", 300))
	})

	It("match the recorded session to the byte", func() {
		r := rand.New(rand.NewPCG(1, 1))
		encoder, snapshot, out := NewEncoder(), newSnapshot(), ""
		for i := range 60 {
			wander(r, &snapshot, 13)
			d, news := encoder.Encode(snapshot, []Detail{Full, Delta, Delta, Delta, Exact}[i%5])
			data, err := proto.MarshalOptions{Deterministic: true}.Marshal(d)
			Expect(err).NotTo(HaveOccurred())
			out += fmt.Sprintf("%v %x\n", news, data)
		}
		golden.Expect("digests.golden", out)
	})
})

// FuzzDecode feeds a decoder two arbitrary digests: it errs or it doesn't, and
// never hands out a name that wasn't sent.
func FuzzDecode(f *testing.F) {
	encoder, snapshot := NewEncoder(), newSnapshot()
	r := rand.New(rand.NewPCG(2, 2))
	for range 20 {
		wander(r, &snapshot, 5)
		d, _ := encoder.Encode(snapshot, Full)
		data, _ := proto.Marshal(d)
		f.Add(data, data)
	}
	f.Fuzz(func(t *testing.T, first, second []byte) {
		decoder := NewDecoder()
		for _, data := range [][]byte{first, second} {
			d := &peerpb.Digest{}
			if proto.Unmarshal(data, d) != nil {
				return
			}
			s, err := decoder.Decode(d)
			if err != nil {
				return
			}
			for up := range s.Dispatch.InFlight {
				if !slices.Contains(decoder.names, up) && !d.GetResetNames() {
					t.Fatalf("%q in flight was never named", up)
				}
			}
		}
	})
}
