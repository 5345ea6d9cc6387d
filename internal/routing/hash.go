package routing

// mix64 is the finaliser of SplitMix64: every input bit affects every output bit.
func mix64(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return x
}

// hashString returns the FNV-1a hash of s, finalised with mix64. It is the same in every
// daemon and every build.
func hashString(s string) uint64 {
	h := uint64(0xcbf29ce484222325)
	for i := 0; i < len(s); i++ {
		h ^= uint64(s[i])
		h *= 0x100000001b3
	}
	return mix64(h)
}

// rendezvousScore returns the score of a node for a key in rendezvous hashing.
func rendezvousScore(key, node uint64) uint64 { return mix64(key ^ node*0x9e3779b97f4a7c15) }

// unitInterval maps a hash to (0, 1].
func unitInterval(h uint64) float64 { return (float64(h>>11) + 1) / (1 << 53) }

// splitMix64 is the SplitMix64 random number generator.
type splitMix64 struct{ state uint64 }

func (g *splitMix64) next() uint64 {
	g.state += 0x9e3779b97f4a7c15
	return mix64(g.state)
}

// intn returns a random number in [0, n). Its bias of n/2^32 is negligible here.
func (g *splitMix64) intn(n int) int {
	return int((g.next() >> 32) * uint64(n) >> 32)
}
