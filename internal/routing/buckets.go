package routing

import "math"

// buckets implements two-level rendezvous hashing for large groups: a prefix selects a
// bucket, weighted by the number of its members, and then a member of that bucket.
//
// Plain rendezvous hashing scores every member, which is exact but linear in their
// number. A ring of virtual nodes is logarithmic but distributes prefixes unevenly, and
// moves those of a lost upstream to few others. With about sqrt(n) buckets both steps are
// short. The prefixes of a lost upstream spread over its bucket; a new upstream takes
// prefixes from its own bucket and, because the weight of the bucket grows, some from
// other buckets. The number of buckets depends only on the number of members, so daemons
// with the same list agree regardless of earlier lists.
type buckets struct {
	members [][]bucketMember // by bucket
	salts   []uint64         // by bucket
}

// bucketMember is a member of a bucket. The hash is stored with it for cache locality.
type bucketMember struct {
	hash  uint64
	index int32
}

// bucketCount returns the number of buckets for n members: 1 up to maxFullScan members,
// then about sqrt(n)/2 to sqrt(n).
func bucketCount(n int) int {
	count := 1
	for n > maxFullScan && 4*count*count < n {
		count *= 2
	}
	return count
}

// build assigns the members, given by their hashes, to buckets.
func (b *buckets) build(hashes []uint64) {
	count := bucketCount(len(hashes))
	b.members = make([][]bucketMember, count)
	b.salts = make([]uint64, count)
	for i := range b.salts {
		b.salts[i] = mix64(uint64(i) + 1)
	}
	for i, h := range hashes {
		bucket := h & uint64(count-1)
		b.members[bucket] = append(b.members[bucket], bucketMember{hash: h, index: int32(i)})
	}
}

// forPrefix returns the members of the bucket that a prefix selects.
func (b *buckets) forPrefix(prefix uint64) []bucketMember {
	if len(b.members) == 1 {
		return b.members[0]
	}
	best, lowestDraw := 0, math.Inf(1)
	for i, members := range b.members {
		if len(members) == 0 {
			continue
		}
		// The minimum of exponential variables whose rates are the bucket sizes:
		// bucket i is selected with a probability proportional to its size.
		draw := -math.Log(unitInterval(rendezvousScore(prefix, b.salts[i]))) / float64(len(members))
		if draw < lowestDraw {
			best, lowestDraw = i, draw
		}
	}
	return b.members[best]
}
