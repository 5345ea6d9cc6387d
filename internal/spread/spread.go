// Package spread has the hash by which work, engines and upstreams are spread: the same at
// every daemon and in every version.
package spread

import "hash/fnv"

// Hash returns a hash of some strings whose bits are all mixed well, also for short, similar
// strings.
func Hash(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		_, _ = h.Write([]byte(p)) // a hash's Write never fails
		_, _ = h.Write([]byte{0})
	}
	return mix(h.Sum64())
}

// mix spreads FNV's low entropy over all bits.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
