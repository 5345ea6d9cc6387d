package relay

import (
	"bytes"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/dogwoodflow/dogwoodflow/internal/fleet"
	"github.com/dogwoodflow/dogwoodflow/internal/store"
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

// notDirect is a DirectReader of a daemon that doesn't read the platform's topics.
type notDirect struct{ DirectReader }

func (notDirect) Loaded() bool { return false }

// Guards against an upstream that stays in use by its former value after a malformed one was published,
// and against one malformed value that hides the other upstreams.
func TestMalformedUpstreamOfAShardIsNotUsed(t *testing.T) {
	encoded := func(e endpoint) []byte {
		data, err := cbor.Marshal(e)
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		return data
	}
	good := endpoint{Service: "calls", Address: "10.0.0.9:80", DataCentre: "z", Slots: 8}
	changed := func(change func(*endpoint)) []byte { e := good; change(&e); return encoded(e) }
	for name, value := range map[string][]byte{
		"no CBOR":           {0xff},
		"another type":      []byte("\x67strange"),
		"nested":            append(bytes.Repeat([]byte{0x81}, 10_000), 0x01),
		"slots below zero":  changed(func(e *endpoint) { e.Slots = -1 }),
		"slots above all":   changed(func(e *endpoint) { e.Slots = 1 << 62 }),
		"slots of 64 bits":  {0xa1, 0x04, 0x1b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"a start after all": changed(func(e *endpoint) { e.Started = 1 << 62 }),
		"no address at all": changed(func(e *endpoint) { e.Address = "" }),
		"a port above all":  changed(func(e *endpoint) { e.Address = "10.0.0.9:65536" }),
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			now := func() time.Duration { return time.Second }
			o := Options{View: fleet.New(now), DirectReader: notDirect{}, Now: now, Logger: zerolog.Nop()}
			s := newShard(o, 0)
			s.subscribe(&subscriber{options: o, shard: s})
			entry := func(id string, value []byte) store.Entry { return store.Entry{Key: upstreamPrefix + id, Value: value} }
			put := func(e store.Entry) {
				record, err := store.EncodeEntry(e.Key, e.Value)
				g.Expect(err).NotTo(HaveOccurred())
				s.Record(1, record)
			}
			ids := func() (ids []string) {
				for _, u := range o.View.ByService("calls") {
					ids = append(ids, u.ID)
				}
				return ids
			}
			watermark, err := cbor.Marshal(Watermark{ServersOffset: 1})
			g.Expect(err).NotTo(HaveOccurred())
			s.Reset([]store.Entry{{Key: watermarkKey, Value: watermark}, entry("odd", value), entry("other", encoded(good))})
			g.Expect(ids()).To(Equal([]string{"other"}))
			put(entry("odd", encoded(good)))
			g.Expect(ids()).To(Equal([]string{"odd", "other"}))
			put(entry("odd", value))
			g.Expect(ids()).To(Equal([]string{"other"}))
		})
	}
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
