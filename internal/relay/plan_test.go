package relay

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/registry"
)

func upstreams(service string, n int) []registry.Upstream {
	var out []registry.Upstream
	for i := range n {
		out = append(out, registry.Upstream{ID: fmt.Sprintf("%s-%d", service, i), Service: service, Address: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250), Slots: 6})
	}
	return out
}

func minMaxSize(shards []map[string][]byte) (least, most int) {
	least = len(shards[0])
	for _, s := range shards {
		least, most = min(least, len(s)), max(most, len(s))
	}
	return least, most
}

// Guards against a shard that lacks the upstreams of a small service, whose daemons would
// refuse calls that others serve, and one with all upstreams of a large service, whose daemons
// would read more the larger the fleet is.
func TestShardSizes(t *testing.T) {
	const some, many = minUpstreamsPerShard / 2, 3 * minUpstreamsPerShard
	for _, c := range []struct{ upstreams, slices, least, most int }{
		{0, 24, 0, 0}, {2, 24, 2, 2}, {16, 24, 16, 16}, {100, 24, some, many}, {460, 24, some, many}, {460, 64, some, many},
		{460, 8, some, 2 * 460 / 8}, {20_000, 24, some, 2 * 20_000 / 24},
	} {
		t.Run(fmt.Sprintf("%d over %d", c.upstreams, c.slices), func(t *testing.T) {
			g := NewWithT(t)
			got, err := newAssigner(c.slices).assign(map[string][]registry.Upstream{"s": upstreams("s", c.upstreams)})
			g.Expect(err).NotTo(HaveOccurred())
			least, most := minMaxSize(got)
			g.Expect(least).To(BeNumerically(">=", c.least))
			g.Expect(most).To(BeNumerically("<=", c.most))
		})
	}
}

// Guards against an upstream with a name too long for a record: the append with it would fail again and
// again, and the daemons that read its shards would learn of no other upstream.
func TestUpstreamWithALongNameDoesNotBlockItsShards(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*registry.Upstream)
		ok     bool
	}{
		{"an ID of 200 bytes", func(u *registry.Upstream) { u.ID = strings.Repeat("i", 200) }, true},
		{"an ID of 255 bytes", func(u *registry.Upstream) { u.ID = strings.Repeat("i", 255) }, false},
		{"an ID of two lines", func(u *registry.Upstream) { u.ID = "i\n1" }, false},
		{"an ID that isn't UTF-8", func(u *registry.Upstream) { u.ID = "i\xff" }, false},
		{"a data centre of 200 bytes", func(u *registry.Upstream) { u.DataCentre = strings.Repeat("z", 200) }, true},
		{"a data centre of 300,000 bytes", func(u *registry.Upstream) { u.DataCentre = strings.Repeat("\ufffd", 100_000) }, false},
		{"a service of 300,000 bytes", func(u *registry.Upstream) { u.Service = strings.Repeat("\ufffd", 100_000) }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			p := newPublisher(Options{Partitions: 1, RecordBytes: 256 << 10, CallBytes: 2 << 20}, make([]*shard, 1), nil)
			r := registry.New()
			odd := registry.Upstream{ID: "odd", Service: "s", Address: "10.0.0.9:80", DataCentre: "z"}
			c.change(&odd)
			for _, u := range []registry.Upstream{{ID: "other", Service: "s", Address: "10.0.0.8:80", DataCentre: "z"}, odd} {
				if r.Check(u) == nil {
					r.Put(u)
				}
			}
			desired, err := p.assigner.assign(map[string][]registry.Upstream{"s": r.All()})
			g.Expect(err).NotTo(HaveOccurred())
			records, err := p.encodeRecords(Watermark{ServersOffset: 1}, diff(nil, desired[0]))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(len(records)).To(BeNumerically(">=", 2), "the other upstream and the watermark")
			for _, record := range records {
				g.Expect(len(record)).To(BeNumerically("<=", p.options.RecordBytes))
			}
			_, known := r.Get(odd.ID)
			g.Expect(known).To(Equal(c.ok))
		})
	}
}

// Guards against a change of a few upstreams that moves others between shards.
func TestChangeOfUpstreamsMovesFewOthers(t *testing.T) {
	g := NewWithT(t)
	a := newAssigner(24)
	list := upstreams("s", 460)
	before, err := a.assign(map[string][]registry.Upstream{"s": list})
	g.Expect(err).NotTo(HaveOccurred())
	list[0].Leaving = true
	list[1].Address = "10.9.9.9:1"
	after, err := a.assign(map[string][]registry.Upstream{"s": list})
	g.Expect(err).NotTo(HaveOccurred())
	changes := 0
	for i := range before {
		for _, c := range diff(before[i], after[i]) {
			g.Expect(c.key).To(BeElementOf(upstreamPrefix+"s-0", upstreamPrefix+"s-1"))
			g.Expect(c.value == nil).To(Equal(c.key == upstreamPrefix+"s-0"))
			changes++
		}
	}
	g.Expect(changes).To(Equal(2 * replicaCount(459, 24)))
}

// Guards against a fleet that overloads the store with direct reads, that flaps between the two
// sources, or in which all or none take over when no elected publisher is left.
func TestNextMode(t *testing.T) {
	large := readLoad{daemons: 1000, bytesPerDaemon: 1_000_000, bytesPerSecond: 80_000_000} // 12.5 s
	small := readLoad{daemons: 10, bytesPerDaemon: 40_000, bytesPerSecond: 80_000_000}
	middle := readLoad{daemons: 100, bytesPerDaemon: 240_000, bytesPerSecond: 80_000_000} // 0.3 s
	relayed, fallback := mode{relayed: true}, mode{relayed: true, fallbackPublisher: true}
	for _, c := range []struct {
		name      string
		current   mode
		load      readLoad
		published bool
		silentFor time.Duration
		random    float64
		want      mode
	}{
		{"no shard is published", mode{}, readLoad{}, false, 0, 0, mode{}},
		{"a large fleet", mode{}, large, true, 0, 0, relayed},
		{"a small fleet", mode{}, small, true, 0, 0, mode{}},
		{"between the thresholds: stays direct", mode{}, middle, true, 0, 0, mode{}},
		{"between the thresholds: stays relayed", relayed, middle, true, 0, 0, relayed},
		{"the fleet has shrunk", relayed, small, true, 0, 0, mode{}},
		{"the shards were cleared", relayed, large, false, 0, 0, mode{}},
		{"a late watermark", relayed, large, true, publisherTimeout - 1, 0, relayed},
		{"nobody publishes: some daemons take over", relayed, large, true, publisherTimeout, 0.039, fallback},
		{"nobody publishes: the other daemons wait", relayed, large, true, publisherTimeout, 0.041, relayed},
		{"a fallback publisher continues", fallback, large, true, publisherTimeout, 0.9, fallback},
		{"an elected publisher is back", fallback, large, true, time.Second, 0, relayed},
		{"the read rate is unknown", mode{}, readLoad{daemons: 1000, bytesPerDaemon: 1_000_000}, true, 0, 0, mode{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			NewWithT(t).Expect(nextMode(c.current, c.load, c.published, c.silentFor, c.random)).To(Equal(c.want))
		})
	}
}

// Guards against a dead publisher that stops the relay until its partitions have another owner:
// the next rank must write what the first one hasn't.
func TestPublishStateDue(t *testing.T) {
	const now = 100 * time.Second
	for _, c := range []struct {
		name string
		p    publishState
		want bool
	}{
		{"nothing changed", publishState{rank: 0, watermarkAt: now - time.Millisecond}, false},
		{"a heartbeat is due", publishState{rank: 0, watermarkAt: now - heartbeatInterval}, true},
		{"a change, the first rank", publishState{rank: 0, pendingSince: now, watermarkAt: now}, true},
		{"a change, the second rank waits", publishState{rank: 1, pendingSince: now - takeoverDelay + 1, watermarkAt: now}, false},
		{"a change, the second rank", publishState{rank: 1, pendingSince: now - takeoverDelay, watermarkAt: now}, true},
		{"a late heartbeat, the third rank waits", publishState{rank: 2, watermarkAt: now - heartbeatInterval - takeoverDelay}, false},
		{"a late heartbeat, the third rank", publishState{rank: 2, watermarkAt: now - heartbeatInterval - 2*takeoverDelay}, true},
	} {
		t.Run(c.name, func(t *testing.T) { NewWithT(t).Expect(c.p.due(now)).To(Equal(c.want)) })
	}
}
