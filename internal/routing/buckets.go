package routing

import "math"

// buckets makes rendezvous hashing cheap for many members: a prefix first
// chooses a bucket, weighted by size, and then a member of it.
//
// Plain rendezvous hashing scores every member: exact, but linear in their
// number. A ring of virtual nodes is logarithmic but spreads unevenly, and a lost
// upstream's prefixes pile up on few. With about sqrt(n) buckets both steps are
// short, a lost upstream's prefixes spread over its bucket, and one that joins
// takes prefixes from its own bucket and, for the grown weight, some from others.
// The number of buckets depends on the number of members alone, so that daemons
// with the same list agree without history.
type buckets struct {
	members [][]ranked
	salts   []uint64
}

// ranked is a member of a bucket; its hash lies beside it for the cache.
type ranked struct {
	hash  uint64
	index int32
}

// bucketCount is 1 up to scanUpTo members, then about sqrt(n)/2 to sqrt(n).
func bucketCount(n int) int {
	count := 1
	for n > scanUpTo && 4*count*count < n {
		count *= 2
	}
	return count
}

func (b *buckets) build(hashes []uint64) {
	count := bucketCount(len(hashes))
	b.members = make([][]ranked, count)
	b.salts = make([]uint64, count)
	for i := range b.salts {
		b.salts[i] = mix(uint64(i) + 1)
	}
	for i, h := range hashes {
		in := h & uint64(count-1)
		b.members[in] = append(b.members[in], ranked{hash: h, index: int32(i)})
	}
}

// of returns the members that a prefix may prefer.
func (b *buckets) of(prefix uint64) []ranked {
	if len(b.members) == 1 {
		return b.members[0]
	}
	best, lowest := 0, math.Inf(1)
	for i, members := range b.members {
		if len(members) == 0 {
			continue
		}
		// The least of exponential variables with these rates: bucket i wins with
		// a chance in proportion to its size.
		drawn := -math.Log(unit(pair(prefix, b.salts[i]))) / float64(len(members))
		if drawn < lowest {
			best, lowest = i, drawn
		}
	}
	return b.members[best]
}
