package routing_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/routing"
)

// newLoadedTable returns a table of n members with learnt token times and uneven load.
func newLoadedTable(n int) *routing.Table {
	t, random := newTable(n), rng(5)
	t.AdvanceClock(start)
	for i := range n {
		t.AddOwnInFlight(name(i), random.IntN(24))
		for range 5 {
			t.ObserveTokenTime(name(i), routing.ClassRollout, time.Duration(20+i%30)*time.Millisecond, 8)
		}
	}
	return t
}

func benchmarkPick(b *testing.B, n int) {
	atLimit, oneUpdated := newLoadedTable(n), newLoadedTable(n)
	for i := range n {
		atLimit.Update(name(i), func(u *routing.Upstream) { u.Limit = 1; u.OwnInFlight += 1 })
	}
	oneUpdated.Update(name(n/2), func(u *routing.Upstream) { u.Serving = 2 })
	halfUpdated := newLoadedTable(n)
	for i := range n / 2 {
		halfUpdated.Update(name(2*i), func(u *routing.Upstream) { u.Serving, u.Limit, u.OwnInFlight = 2, 8, 8+i%9 })
	}
	reserved := newLoadedTable(n)
	for i := range n {
		reserved.AddOwnInFlight(name(i), 4)
	}
	reserved.UpdateReserve(1) // records the bulk requests in flight
	reserved.UpdateReserve(1e9)
	if reserved.ReserveSize() == 0 {
		b.Fatal("no reserve")
	}
	for _, c := range []struct {
		name    string
		table   *routing.Table
		request routing.Request
	}{
		{"plain", newLoadedTable(n), routing.Request{}},
		{"excluded", newLoadedTable(n), routing.Request{Exclude: []ident.Upstream{"u1", "u2"}}},
		{"prefix", newLoadedTable(n), routing.Request{Prefix: 1}},
		{"reserve", reserved, routing.Request{Prefix: 1}},
		{"off-reserve", reserved, routing.Request{Class: routing.ClassRollout, Prefix: 1}},
		{"straggler", newLoadedTable(n), routing.Request{Class: routing.ClassRollout, Straggler: true}},
		{"all-at-limit", atLimit, routing.Request{Class: routing.ClassRollout, Prefix: 1, Straggler: true}},
		{"half-updated-at-limit", halfUpdated, routing.Request{Class: routing.ClassRollout, Prefix: 1, MinVersion: 2}},
		{"one-updated", oneUpdated, routing.Request{Class: routing.ClassRollout, Prefix: 1, MinVersion: 2}},
	} {
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if c.request.Prefix != 0 {
					c.request.Prefix++
				}
				if _, ok := c.table.Pick(c.request, start); !ok {
					b.Fatal("no pick")
				}
			}
		})
	}
}

func BenchmarkPick13(b *testing.B)    { benchmarkPick(b, 13) }
func BenchmarkPick522(b *testing.B)   { benchmarkPick(b, 522) }
func BenchmarkPick12000(b *testing.B) { benchmarkPick(b, 12000) }

var _ = It("picks without allocating", func() {
	t := newLoadedTable(522)
	p := uint64(1)
	Expect(testing.AllocsPerRun(1000, func() {
		p++
		t.Pick(routing.Request{Prefix: p, Exclude: nil}, start)
		t.Pick(routing.Request{Straggler: true}, start)
	})).To(BeZero())
})
