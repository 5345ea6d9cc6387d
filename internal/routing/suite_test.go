package routing_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/routing"
)

func TestRouting(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "routing")
}

// start is the time at which every test begins.
var start = time.Unix(1_700_000_000, 0)

func name(i int) ident.Upstream { return ident.Upstream(fmt.Sprintf("u%d", i)) }

// idleUpstreams returns n idle upstreams in three data centres.
func idleUpstreams(n int) []routing.Upstream {
	list := make([]routing.Upstream, n)
	for i := range list {
		list[i] = routing.Upstream{
			Name:       name(i),
			DataCentre: ident.DataCentre(fmt.Sprintf("dc%d", i%3)),
			Eligible:   true,
			Weight:     1,
			Limit:      32,
			Serving:    1,
		}
	}
	return list
}

// newTable returns a table of n idle upstreams.
func newTable(n int) *routing.Table {
	t := routing.NewTable(routing.Options{DataCentre: "dc0", Seed: 7})
	t.SetMembers(idleUpstreams(n))
	return t
}

func rng(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }
