package batchrun

import (
	"slices"
	"time"
)

const (
	// minGapBytes to maxGapBytes bound the unwanted bytes between two blobs that are read in one call.
	// Of what the store lets a fleet read, by its limits on calls and on bytes, a call takes about as
	// large a part as minGapBytes.
	minGapBytes = 8 << 10
	maxGapBytes = 64 << 10
	// A call costs as much as the bytes that arrive in minCallCost to maxCallCost: the time of one that
	// returns nothing, and more while the store refuses calls because there are too many.
	minCallCost = 8 * time.Millisecond
	maxCallCost = 128 * time.Millisecond
	// callCostDecay is the part of what exceeds minCallCost that each answered call takes off.
	callCostDecay = 16
	// A read asks for minFetchBytes to maxFetchBytes. What a read that fails has transferred is lost.
	minFetchBytes     = 8 << 10
	maxFetchBytes     = 256 << 10
	initialFetchBytes = 64 << 10
	// slowFetch is the time of a read from which the next ones are smaller. Several reads, one after
	// the other, must end within fetchTimeout.
	slowFetch = 100 * time.Millisecond
	// fetchMargin is by how much a read exceeds the estimated size of its range.
	fetchMargin = 1.5
	// initialBlobBytes is the estimate of a blob's size before any was read.
	initialBlobBytes = 4 << 10
	// blobBytesWeight is the weight of a read in the typical size of the blobs.
	blobBytesWeight = 0.5
)

// blobRange is a part of the log that is read in one call: its wanted blobs lie close together.
type blobRange struct{ first, last int64 } // offsets of its first and last wanted blob

// blobs returns the number of blobs in the range.
func (r blobRange) blobs() int64 { return r.last - r.first + 1 }

// fetchEstimate is what reads are planned by.
type fetchEstimate struct {
	blobBytes float64 // typical size of a blob
	limit     int     // on the bytes of a read
	rate      float64 // bytes per second that the reads of a call bring
	callCost  time.Duration
}

// fetchBytes returns how many bytes to request for the range.
func (r blobRange) fetchBytes(e fetchEstimate) int {
	return min(max(int(fetchMargin*e.blobBytes*float64(r.blobs())), minFetchBytes), e.limit)
}

// planReads divides blobs, given by their offsets in the order of their urgency, into ranges in the
// same order. Each begins with its most urgent blob, which is read even if the others turn out too
// large.
//
// The segments of a text lie among those of all others that were generated at the same time. If a
// page were read in the log's order and whole, it would take as long as everything between its first
// and its last segment.
func planReads(wanted []int64, e fetchEstimate) []blobRange {
	sorted := slices.Compact(slices.Sorted(slices.Values(wanted)))
	covered := make([]bool, len(sorted))
	var ranges []blobRange
	for _, offset := range wanted {
		i, _ := slices.BinarySearch(sorted, offset)
		if covered[i] {
			continue
		}
		r := blobRange{first: offset, last: offset}
		for ; i < len(sorted) && !covered[i] && r.reaches(sorted[i], e); i++ {
			covered[i], r.last = true, sorted[i]
		}
		ranges = append(ranges, r)
	}
	return ranges
}

// reaches reports whether one call may read the range and a blob behind it.
func (r blobRange) reaches(offset int64, e fetchEstimate) bool {
	if offset == r.first {
		return true
	}
	gap := float64(offset-r.last-1) * e.blobBytes
	return gap <= min(max(e.rate*e.callCost.Seconds(), minGapBytes), maxGapBytes) && float64(offset-r.first+1)*e.blobBytes*fetchMargin <= float64(e.limit)
}

// nextFetchLimit returns the limit on the bytes of the next reads after one with a limit took some time.
// The store's rate is shared by the fleet, and what a read that is given up has asked for is sent all
// the same. With large reads only, the fleet could ask for more than the store sends within
// fetchTimeout, and no read would end in time.
func nextFetchLimit(limit int, took time.Duration) int {
	switch {
	case took > slowFetch:
		return max(limit/2, minFetchBytes)
	case took < slowFetch/2:
		return min(2*limit, maxFetchBytes)
	}
	return limit
}

// medianBytes returns the median size of blobs. Requests of batches, which are many times larger, lie
// among the texts; with the mean, a read of one text would ask for as many bytes as these have.
func medianBytes(blobs [][]byte) float64 {
	sizes := make([]int, len(blobs))
	for i, data := range blobs {
		sizes[i] = len(data)
	}
	slices.Sort(sizes)
	return float64(sizes[len(sizes)/2])
}

// sizeOf returns how many bytes the reads of ranges request.
func sizeOf(ranges []blobRange, e fetchEstimate) (n int) {
	for _, r := range ranges {
		n += r.fetchBytes(e)
	}
	return n
}

const (
	// initialFetchRate is the estimate, in bytes per second, of what a call's reads bring before any
	// was made.
	initialFetchRate = 2 << 20
	// fetchRateWeight is the weight of a call's last reads in the average rate.
	fetchRateWeight = 0.5
)

// readAhead returns how many of the wanted blobs to read next. Those up to each of the offsets' ends
// belong together and are of no use in part. It is as many as the reads of a budget of bytes bring, and
// at least those up to the first end at which some are missing: what is read for a later one, and not
// completed in time, is read in vain.
func readAhead(wanted []int64, ends []int, found map[int64][]byte, size func(missing []int64) int, budget float64) int {
	next, step := 0, 1
	for i := 0; i < len(ends); i += step {
		end := min(ends[i], len(wanted))
		missing := missingOf(wanted[:end], found)
		if next > 0 && float64(size(missing)) > budget {
			return next
		}
		if len(missing) > 0 {
			next = end
			step *= 2
		}
	}
	if next > 0 && float64(size(missingOf(wanted, found))) > budget {
		return next
	}
	return len(wanted)
}

// nextCallCost returns the cost of a call after one that the store has refused or answered.
func nextCallCost(cost time.Duration, refused bool) time.Duration {
	if refused {
		return min(2*cost, maxCallCost)
	}
	return cost - (cost-minCallCost)/callCostDecay
}
