package relay

import (
	"bytes"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
)

// Guards against a configuration that is assembled from chunks of two different ones.
func TestConfigChunks(t *testing.T) {
	g := NewWithT(t)
	noise := make([]byte, 10_000) // incompressible
	for i := range noise {
		noise[i] = byte(rand.Uint32())
	}
	first, err := packConfig(noise, 7, 4000)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(first).To(HaveLen(3))
	second, err := packConfig(bytes.Repeat([]byte("route"), 1000), 9, 4000)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(second).To(HaveLen(1))

	chunks := map[int]chunk{}
	for _, c := range first {
		_, _, complete, err := unpackConfig(chunks)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(complete).To(BeFalse())
		chunks[c.Index] = c
	}
	data, offset, complete, err := unpackConfig(chunks)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(complete).To(BeTrue())
	g.Expect(offset).To(Equal(int64(7)))
	g.Expect(data).To(Equal(noise))

	chunks[0] = second[0] // chunks 1 and 2 of the first configuration remain
	data, offset, complete, err = unpackConfig(chunks)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(complete).To(BeTrue())
	g.Expect(offset).To(Equal(int64(9)))
	g.Expect(data).To(HaveLen(5000))

	chunks[1] = chunk{ConfigOffset: 11, Index: 1, Count: 2}
	_, _, complete, err = unpackConfig(chunks)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(complete).To(BeFalse(), "the first chunk of the newest configuration is missing")

	chunks = map[int]chunk{0: {ConfigOffset: 1, Count: 1, Data: []byte("no deflate")}}
	_, _, _, err = unpackConfig(chunks)
	g.Expect(err).To(MatchError(errMalformed))
}

// Guards against a malformed record that makes a daemon panic.
func FuzzShardRecord(f *testing.F) {
	f.Add("cover", []byte{0xa0})
	f.Add("config/0", []byte{0xa1, 0x04, 0x41, 0x00})
	f.Add("upstream/a", []byte{0xff})
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		s := newShard(Options{Partitions: 1, Now: func() time.Duration { return 1 }, Logger: zerolog.Nop()}, 0)
		s.applyLocked(key, value)
		if c, err := decode[chunk](value); err == nil {
			_, _, _, _ = unpackConfig(map[int]chunk{c.Index: c}) // must not panic
		}
	})
}
