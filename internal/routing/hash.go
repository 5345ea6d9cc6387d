package routing

// mix is the finaliser of splitmix64: every input bit reaches every output bit.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return x
}

// hashString is FNV-1a, mixed; the same in every daemon and every build.
func hashString(s string) uint64 {
	h := uint64(0xcbf29ce484222325)
	for i := 0; i < len(s); i++ {
		h ^= uint64(s[i])
		h *= 0x100000001b3
	}
	return mix(h)
}

// pair scores a key against a node, for rendezvous hashing.
func pair(key, node uint64) uint64 { return mix(key ^ node*0x9e3779b97f4a7c15) }

// unit maps a hash onto (0, 1].
func unit(h uint64) float64 { return (float64(h>>11) + 1) / (1 << 53) }

// generator is splitmix64.
type generator struct{ state uint64 }

func (g *generator) next() uint64 {
	g.state += 0x9e3779b97f4a7c15
	return mix(g.state)
}

// below returns a number in [0, n); its bias of n/2^32 doesn't matter here.
func (g *generator) below(n int) int {
	return int((g.next() >> 32) * uint64(n) >> 32)
}
