package capacity

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/claims"
	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/infra"
	"github.com/dogwoodflow/dogwoodflow/internal/lease"
)

// Rates a second.
var (
	requestRates = []int{25, 50, 100, 200}
	chunkRates   = []int{200, 400, 800, 1600}
	claimRates   = []int{10, 20, 40, 80}
	foreignRates = []int{25, 50, 100, 200}
	leaseRates   = []int{18, 35, 70, 138}
)

const (
	chunkGap     = 50 * time.Millisecond // between two chunks of a stream
	foreignBatch = 5                     // claims in a record of another daemon
)

// leasedEngines is how many engines another daemon's lease record names.
const leasedEngines = 17

// measureData: what comes by the second.
func measureData(ctx context.Context, w *World, _ int) ([]Sample, error) {
	if err := w.begin(ctx, baseEngines); err != nil {
		return nil, err
	}
	c := newCallers(w.options)
	var samples []Sample
	each := func(series string, sizes []int, counted string, load func(ctx context.Context, size int)) error {
		for _, size := range sizes {
			s, err := w.measure(ctx, series, size, c.during(shortWindow, func(ctx context.Context) { load(ctx, size) }))
			if err != nil {
				return err
			}
			s.Size = reached(s, counted)
			samples = append(samples, s)
			pause(ctx, time.Second)
		}
		return nil
	}
	parts := []func() error{
		func() error { return each("requests a second", requestRates, "", c.requests) },
		func() error { return each("chunks a second", chunkRates, meterChunks, c.chunks) },
		func() error { return each("own claims a second", claimRates, "", c.claims) },
		func() error {
			return each("others' claim records a second", foreignRates, meterOwn, w.foreignClaims)
		},
		func() error { return each("others' lease records a second", leaseRates, meterOwn, w.foreignLeases) },
	}
	for _, part := range parts {
		if err := part(); err != nil {
			return samples, err
		}
	}
	return samples, nil
}

// reached is the rate that was reached: of answers, or of what a meter counted.
func reached(s Sample, counted string) float64 {
	if counted == "" {
		return s.Done / s.Seconds
	}
	return float64(s.Traffic[counted].Exchanges) / s.Seconds
}

func (c *callers) requests(ctx context.Context, rate int) {
	atRate(ctx, float64(rate), func(ctx context.Context) { c.completion(ctx, 1, 0, false) })
}

// chunks keeps as many streams open as give the rate.
func (c *callers) chunks(ctx context.Context, rate int) {
	streams := rate * int(chunkGap) / int(time.Second)
	keepBusy(ctx, streams, func(ctx context.Context) { c.completion(ctx, maxAnswerTokens, chunkGap, true) })
}

func (c *callers) claims(ctx context.Context, rate int) {
	atRate(ctx, float64(rate), c.booking)
}

// foreignClaims appends what other daemons would.
func (w *World) foreignClaims(ctx context.Context, rate int) {
	atRate(ctx, float64(rate), func(ctx context.Context) {
		var batch []claims.Record
		for i := range foreignBatch {
			name := fmt.Sprintf("%d-%d", time.Now().UnixNano(), i)
			batch = append(batch, claims.Record{
				Kind: claims.KindClaim, Scope: team + "/booking", Key: name, Nonce: name, VM: ident.VM("another"),
			})
		}
		if data, err := claims.EncodeBatch(batch); err == nil {
			_, _ = w.ownLog.Append(ctx, infra.StreamClaims, [][]byte{data}) // cut off by the window's end
		}
	})
}

// foreignLeases appends the renewals of other daemons, of engines elsewhere.
func (w *World) foreignLeases(ctx context.Context, rate int) {
	names := make([]ident.Upstream, leasedEngines)
	for i := range names {
		names[i] = ident.Upstream(fmt.Sprintf("engine-elsewhere-%02d", i))
	}
	var serial atomic.Int64
	atRate(ctx, float64(rate), func(ctx context.Context) {
		record := lease.Record{
			Holder: "another", Nonce: "nonce-of-the-other-one", Seq: serial.Add(1),
			Duration: 15 * time.Second, Upstreams: names,
		}
		if data, err := lease.Encode(record); err == nil {
			_, _ = w.ownLog.Append(ctx, infra.LeaseStream(dataCentre), [][]byte{data}) // cut off by the window's end
		}
	})
}
