package main

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/standin/engine"
	"github.com/dogwoodflow/dogwoodflow/internal/wire"
)

// These tests make sure that the checks used by the end-to-end scripts can fail.

func TestVersionLogDetectsDecrease(t *testing.T) {
	g := NewWithT(t)
	log := newVersionLog()
	for _, version := range []int64{0, 3, 3, 5, 0, 5} {
		log.observe("a", version)
	}
	log.observe("b", 2)
	line, err := log.result()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(line).To(Equal("polls=5 falls=0"))
	log.observe("a", 3) // restarted with an older configuration
	_, err = log.result()
	g.Expect(err).To(MatchError(errVersionDecreased))
}

func TestCountOrdersSeparatesRefusedFromApplied(t *testing.T) {
	g := NewWithT(t)
	order := func(fence int64, applied bool) engine.OrderEntry {
		return engine.OrderEntry{Order: wire.Order{Fence: fence}, Applied: applied}
	}
	checkingEngine := []engine.OrderEntry{order(3, true), order(7, true), order(3, false), order(7, true)}
	g.Expect(countOrders(checkingEngine)).To(Equal(fencingCounts{tokens: 2, applied: 3, refused: 1}))
	ignoringEngine := []engine.OrderEntry{order(3, true), order(7, true), order(3, true)}
	g.Expect(countOrders(ignoringEngine)).To(Equal(fencingCounts{tokens: 2, applied: 3, outdated: 1}))
}
