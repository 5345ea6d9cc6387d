package capacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/dogwoodflow/dogwoodflow/internal/config"
	"github.com/dogwoodflow/dogwoodflow/internal/dispatch"
	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/peer"
	"github.com/dogwoodflow/dogwoodflow/internal/timeline"
)

// digestUpstreams is how many upstreams a fake peer's digest speaks of.
const digestUpstreams = 50

// peers are fake daemons: real peer services, each with a made-up load.
type peers struct {
	cancel  context.CancelFunc
	running sync.WaitGroup
	sources []*digestSource
}

// startPeers runs n fake peers that know the daemon, and through it each other.
// Their names sort before the daemon's, so that theirs is the connection kept
// and counted.
func (w *World) startPeers(n int) error {
	ctx, cancel := context.WithCancel(context.Background())
	w.peers = &peers{cancel: cancel}
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return fmt.Errorf("capacity: peer: %w", err)
		}
		source := newDigestSource()
		w.peers.sources = append(w.peers.sources, source)
		name := ident.VM(fmt.Sprintf("a-peer-%02d", i))
		s := peer.New(peer.Options{
			Self: name, DataCentre: dataCentre, Listener: l, Timeline: timeline.New(name, 0),
			Token: w.options.PeerToken, Seeds: []string{w.options.address(portPeer)},
			Digests: source, Config: newConfigPort(), Log: zerolog.Nop(), Dial: w.dialPeer,
			Everyone: 1000, // each is connected with the daemon
		})
		w.peers.running.Go(func() { _ = s.Run(ctx) }) // ends with ctx
	}
	return nil
}

// dialPeer counts the connections to the daemon, not those among the fakes.
func (w *World) dialPeer(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil || address != w.options.address(portPeer) {
		return conn, err
	}
	return &peerConn{conn, w.meters.of(meterPeers)}, nil
}

func (p *peers) stop() {
	p.cancel()
	p.running.Wait()
}

// churn changes a fifth of every peer's counts ten times a second.
func (p *peers) churn(ctx context.Context) {
	for pause(ctx, 100*time.Millisecond) {
		for _, s := range p.sources {
			s.change()
		}
	}
}

// peerConn counts a connection that the fake dialled.
type peerConn struct {
	net.Conn
	meter *Meter
}

func (c *peerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.meter.out.Add(int64(n))
		c.meter.segments.Add(1)
	}
	return n, err
}

func (c *peerConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.in.Add(int64(n))
	c.meter.segments.Add(1)
	return n, err
}

// digestSource stands in for a dispatcher.
type digestSource struct {
	mu  sync.Mutex
	own dispatch.Digest
}

func newDigestSource() *digestSource {
	s := &digestSource{own: dispatch.Digest{
		InFlight: map[ident.Upstream]int{}, Serving: map[ident.Upstream]map[ident.Model]ident.Version{},
	}}
	for i := range digestUpstreams {
		name := engineName(i)
		s.own.InFlight[name] = 1 + rand.IntN(8)
		s.own.Serving[name] = map[ident.Model]ident.Version{model: 1}
	}
	return s
}

func engineName(i int) ident.Upstream { return ident.Upstream(fmt.Sprintf("engine-%04d", i)) }

func (s *digestSource) change() {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[ident.Upstream]int, digestUpstreams)
	for i := range digestUpstreams {
		name := engineName(i)
		counts[name] = s.own.InFlight[name]
		if rand.IntN(5) == 0 {
			counts[name] = rand.IntN(8)
		}
	}
	s.own.InFlight = counts
}

// Digest implements peer.DigestSource.
func (s *digestSource) Digest() dispatch.Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.own
}

// Merge implements peer.DigestSource.
func (s *digestSource) Merge(ident.VM, dispatch.Digest) {}

// Forget implements peer.DigestSource.
func (s *digestSource) Forget(ident.VM) {}

// Urgent implements peer.DigestSource.
func (s *digestSource) Urgent() <-chan struct{} { return nil }

// configPort holds whatever configuration the daemon brings.
type configPort struct{ state atomic.Pointer[config.State] }

func newConfigPort() *configPort {
	c := &configPort{}
	c.state.Store(config.Empty())
	return c
}

// Current implements peer.ConfigPort.
func (c *configPort) Current() *config.State { return c.state.Load() }

// Changed implements peer.ConfigPort.
func (c *configPort) Changed() <-chan struct{} { return nil }

// Offer implements peer.ConfigPort.
func (c *configPort) Offer(s *config.State) bool {
	c.state.Store(s)
	return true
}
