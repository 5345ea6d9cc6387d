package capacity

import (
	"fmt"
	"runtime"

	"github.com/dogwoodflow/dogwoodflow/internal/claims"
	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/timeline"
)

// Numbers of keys and events held, up to the daemon's own bounds.
var (
	keySizes   = []int{25_000, 50_000, 100_000, 200_000}
	eventSizes = []int{8192, 16_384, 32_768, 65_536}
)

// measureHeld measures what idempotency keys and the time line retain, in this
// process.
func measureHeld() []Sample {
	var samples []Sample
	for _, n := range keySizes {
		samples = append(samples, retained("keys held", n, func() any { return foldOf(n) }))
	}
	for _, n := range eventSizes {
		samples = append(samples, retained("events of the time line", n, func() any { return recorderOf(n) }))
	}
	return samples
}

func retained(series string, n int, build func() any) Sample {
	before := liveHeap()
	held := build()
	heap := liveHeap() - before
	runtime.KeepAlive(held)
	return Sample{Series: series, Size: float64(n), Seconds: 1, Heap: heap}
}

// foldOf holds n keys that were claimed, without their answers.
func foldOf(n int) *claims.Fold {
	f := claims.NewFold(0)
	for i := range n {
		f.Apply(ident.Offset(i+1), []claims.Record{{
			Kind: claims.KindClaim, Scope: team + "/booking", Key: fmt.Sprintf("key-of-a-caller-%08d", i),
			Nonce: fmt.Sprintf("nonce-of-one-claim-%08d", i), VM: "another", BodyHash: uint64(i),
		}})
	}
	return f
}

func recorderOf(n int) *timeline.Recorder {
	r := timeline.New("entry-1", n)
	for i := range 2 * n { // shards fill unevenly
		r.Add(timeline.Event{
			Kind: "dispatch", Request: ident.RequestID(fmt.Sprintf("0190aaaa-bbbb-cccc-dddd-%012d", i)),
			Team: team, Upstream: "engine-0001", Detail: "production",
		})
	}
	return r
}
