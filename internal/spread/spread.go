// Package spread provides the hash by which work, engines and upstreams are distributed. It is
// the same in every daemon and every version.
package spread

import "hash/fnv"

// Hash returns a hash of some strings. All of its bits are well mixed, even for short, similar
// strings.
func Hash(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		_, _ = h.Write([]byte(p)) // Write of a hash.Hash never returns an error
		_, _ = h.Write([]byte{0})
	}
	return mix(h.Sum64())
}

// mix is the 64-bit finalizer of MurmurHash3. FNV alone mixes the bits of short strings poorly.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
