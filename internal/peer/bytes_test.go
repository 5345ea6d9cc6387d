package peer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dogwoodflow/dogwoodflow/internal/dispatch"
	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/timeline"

	"github.com/dogwoodflow/dogwoodflow/internal/pause"
)

// BenchmarkDigest measures the bytes of one digest: a full one, one after a
// tenth of the upstreams changed, and one that says nothing.
func BenchmarkDigest(b *testing.B) {
	for _, upstreams := range []int{13, 50, 130, 522} {
		b.Run(fmt.Sprintf("upstreams=%d", upstreams), func(b *testing.B) {
			r := rand.New(rand.NewPCG(1, 1))
			encoder, snapshot := NewEncoder(), loadOf(r, upstreams)
			snapshot.HLC = timeline.StampOf(time.Unix(1.9e9, 0))
			full, _ := encoder.Encode(snapshot, Full)
			delta, deltas := 0, 0
			for b.Loop() {
				for range max(1, upstreams/10) {
					snapshot.Dispatch.InFlight[upstreamName(r.IntN(upstreams))] = r.IntN(64)
				}
				d, _ := encoder.Encode(snapshot, Delta)
				d.Seq = 1e6
				delta += proto.Size(d)
				deltas++
			}
			idle, _ := encoder.Encode(snapshot, Delta)
			idle.Seq = 1e6
			b.ReportMetric(float64(proto.Size(full)), "B/full")
			b.ReportMetric(float64(delta)/float64(deltas), "B/delta")
			b.ReportMetric(float64(proto.Size(idle)), "B/heartbeat")
		})
	}
}

func loadOf(r *rand.Rand, upstreams int) Snapshot {
	s := newSnapshot()
	for i := range upstreams {
		s.Dispatch.InFlight[upstreamName(i)] = 1 + r.IntN(64)
		s.Dispatch.Serving[upstreamName(i)] = map[ident.Model]ident.Version{"model": 7}
	}
	return s
}

// BenchmarkExchange measures the bytes a second that one daemon sends to its
// peers over loopback, payload and drpc's frames, and with 52 bytes of TCP and
// IP header a digest and a bare ACK of 52 for each received one. One iteration is a second.
//
//	go test -run '^$' -bench Exchange -benchtime 35x ./internal/peer
func BenchmarkExchange(b *testing.B) {
	for _, daemons := range []int{5, 13, 30} {
		b.Run(fmt.Sprintf("peers=%d", daemons-1), func(b *testing.B) { exchange(b, daemons) })
	}
}

func exchange(b *testing.B, daemons int) {
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	ended := make(chan error, daemons)
	sources, seed := make([]*fakeDigests, daemons), ""
	r := rand.New(rand.NewPCG(1, 1))
	for i := range daemons {
		sources[i] = newFakeDigests()
		sources[i].set(loadOf(r, 50).Dispatch)
		s := New(Options{
			Self: ident.VM(fmt.Sprintf("vm%02d", i)), DataCentre: "dc", ListenAddress: "127.0.0.1:0", Token: "a shared secret",
			Seeds: []string{seed}, Digests: sources[i], Config: newFakeConfig(1), Timeline: timeline.New("vm", 0),
		})
		if err := s.Listen(); err != nil {
			b.Fatal(err)
		}
		seed = s.Address()
		go func() { ended <- s.Run(ctx) }()
	}
	for range 3 + daemons/5 { // until all have met
		churn(ctx, r, sources, time.Second)
	}
	bytes, digests := bytesSent.Value(), digestsSent.Value()
	began := time.Now()
	for b.Loop() {
		churn(ctx, r, sources, time.Second)
	}
	seconds := time.Since(began).Seconds() * float64(daemons)
	payload := float64(bytesSent.Value()-bytes) / seconds
	rate := float64(digestsSent.Value()-digests) / seconds
	b.ReportMetric(payload, "B/s")
	b.ReportMetric(payload+rate*2*52, "B/s-with-headers")
	b.ReportMetric(rate, "digests/s")
	cancel()
	for range daemons {
		if err := <-ended; err != nil {
			b.Error(err)
		}
	}
}

// churn changes a fifth of each daemon's in-flight counts ten times.
func churn(ctx context.Context, r *rand.Rand, sources []*fakeDigests, d time.Duration) {
	for range 10 {
		for _, source := range sources {
			counts := make(map[ident.Upstream]int, 50)
			for up, n := range source.Digest().InFlight {
				if r.IntN(5) == 0 {
					n = 1 + r.IntN(64)
				}
				counts[up] = n
			}
			source.set(dispatch.Digest{InFlight: counts, Serving: source.Digest().Serving})
		}
		pause.For(ctx, d/10)
	}
}
