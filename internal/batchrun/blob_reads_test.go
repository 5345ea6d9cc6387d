package batchrun

import (
	"slices"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against reads that transfer what lies between far segments, and against a page whose first
// result is read last.
func TestPlanReads(t *testing.T) {
	const blobBytes = 4 << 10
	for _, c := range []struct {
		name   string
		wanted []int64
		reads  []blobRange
	}{
		{"none", nil, nil},
		{"one blob", []int64{7}, []blobRange{{7, 7}}},
		{"neighbours in one read", []int64{7, 8, 10}, []blobRange{{7, 10}}},
		{"a gap within the limit", []int64{7, 24}, []blobRange{{7, 24}}},
		{"a gap above the limit", []int64{7, 25}, []blobRange{{7, 7}, {25, 25}}},
		{"the most urgent one first", []int64{90, 7, 91}, []blobRange{{90, 91}, {7, 7}}},
		{"each begins with its most urgent one", []int64{9, 10, 7, 8}, []blobRange{{9, 10}, {7, 8}}},
		{"a blob wanted twice", []int64{7, 8, 7}, []blobRange{{7, 8}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			NewWithT(t).Expect(planReads(c.wanted, fetchEstimate{blobBytes: blobBytes, limit: maxFetchBytes, rate: 1 << 30, callCost: minCallCost})).To(Equal(c.reads))
		})
	}
}

// Guards against reads above the size whose loss is accepted when one of them fails.
func TestPlannedReadsAreBounded(t *testing.T) {
	g := NewWithT(t)
	var wanted []int64
	for offset := range int64(2000) {
		wanted = append(wanted, offset)
	}
	for _, blobBytes := range []float64{1, 500, 4 << 10, 200 << 10, 1 << 30} {
		e := fetchEstimate{blobBytes: blobBytes, limit: maxFetchBytes, rate: 1 << 30, callCost: minCallCost}
		next := int64(0)
		for _, r := range planReads(wanted, e) {
			g.Expect(r.first).To(Equal(next), "no blob is left out")
			next = r.last + 1
			g.Expect(r.fetchBytes(e)).To(And(BeNumerically(">=", minFetchBytes), BeNumerically("<=", maxFetchBytes)))
			if r.blobs() > 1 {
				g.Expect(float64(r.blobs()) * blobBytes).To(BeNumerically("<=", maxFetchBytes))
			}
		}
		g.Expect(next).To(BeEquivalentTo(len(wanted)))
	}
}

// Guards against reads that stay large while the store takes long for them, and against ones that stay
// small afterwards.
func TestSizeOfReadsFollowsTheirTime(t *testing.T) {
	g := NewWithT(t)
	limit := initialFetchBytes
	for range 10 {
		limit = nextFetchLimit(limit, slowFetch/4)
	}
	g.Expect(limit).To(Equal(maxFetchBytes))
	g.Expect(nextFetchLimit(limit, slowFetch)).To(Equal(limit))
	g.Expect(nextFetchLimit(limit, 2*slowFetch)).To(Equal(limit / 2))
	for range 10 {
		limit = nextFetchLimit(limit, 2*slowFetch)
	}
	g.Expect(limit).To(Equal(minFetchBytes))
}

// Guards against reads of texts that ask for many times their size, because the requests of a batch
// were read before.
func TestLargeBlobsAmongTextsDoNotEnlargeReads(t *testing.T) {
	g := NewWithT(t)
	const textBytes, requestBytes = 3 << 10, 200 << 10
	b := newBlobCache(nil, 1)
	blobs := slices.Repeat([][]byte{make([]byte, textBytes)}, 20)
	blobs[9] = make([]byte, requestBytes)
	for range 10 {
		b.recordSizes(0, blobs)
	}
	g.Expect(blobRange{first: 1, last: 10}.fetchBytes(b.estimate(0))).To(BeNumerically("<", 2*10*textBytes))
}
