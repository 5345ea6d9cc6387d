package main

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/standin/engine"
	"github.com/dogwoodflow/dogwoodflow/internal/wire"
)

// The checks of the proofs must be able to fail.

func TestVersionLogNoticesAFall(t *testing.T) {
	g := NewWithT(t)
	log := newVersionLog()
	for _, version := range []int64{0, 3, 3, 5, 0, 5} {
		log.saw("a", version)
	}
	log.saw("b", 2)
	line, err := log.result()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(line).To(Equal("polls=5 falls=0"))
	log.saw("a", 3) // restarted with an older configuration
	_, err = log.result()
	g.Expect(err).To(MatchError(errVersionFell))
}

func TestCountFencesTellsRefusedFromCarriedOut(t *testing.T) {
	g := NewWithT(t)
	order := func(fence int64, applied bool) engine.OrderEntry {
		return engine.OrderEntry{Order: wire.Order{Fence: fence}, Applied: applied}
	}
	checked := []engine.OrderEntry{order(3, true), order(7, true), order(3, false), order(7, true)}
	g.Expect(countFences(checked)).To(Equal(fenceCount{numbers: 2, applied: 3, refused: 1}))
	ignored := []engine.OrderEntry{order(3, true), order(7, true), order(3, true)}
	g.Expect(countFences(ignored)).To(Equal(fenceCount{numbers: 2, applied: 3, falls: 1}))
}
