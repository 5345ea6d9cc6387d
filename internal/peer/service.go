package peer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"storj.io/drpc/drpcmux"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/membership"
	"github.com/dogwoodflow/dogwoodflow/internal/peer/peerpb"
)

// Service is this daemon's end of all exchanges. Safe for concurrent use.
type Service struct {
	options     Options
	incarnation int64
	seq         atomic.Uint64
	steps       atomic.Pointer[StepPort]
	draining    atomic.Bool
	urgent      chan struct{}
	refusal     sync.Once // of a certificate: the first is logged
	mux         *drpcmux.Mux
	listener    net.Listener
	address     string // told to peers

	// order is held over a step and what it asks for, so that Forget and Merge of
	// one VM reach the dispatcher in the order in which membership decided.
	order sync.Mutex

	meeting meeting
	copies  *copyAsker

	mu      sync.Mutex // guards what follows; never held while calling out
	members *membership.Members
	links   map[ident.VM]*link
	heardOf map[ident.VM]report
	dials   map[membership.Contact]context.CancelFunc

	started atomic.Bool
	running context.Context // until Run ends; dials and their connections end with it
	stop    context.CancelFunc
	work    sync.WaitGroup

	leaving map[ident.Upstream]bool // of the list poller alone
}

// report is what a peer said last.
type report struct {
	config   ConfigPoint
	draining bool
}

// New returns a service that does nothing until Run.
func New(options Options) *Service {
	options.fill()
	s := &Service{
		options:     options,
		incarnation: time.Now().UnixNano(),
		urgent:      make(chan struct{}, 1),
		mux:         drpcmux.New(),
		links:       map[ident.VM]*link{},
		heardOf:     map[ident.VM]report{},
		dials:       map[membership.Contact]context.CancelFunc{},
		leaving:     map[ident.Upstream]bool{},
		meeting:     meeting{began: time.Now(), named: options.VMs == nil},
	}
	s.copies = newCopyAsker(s)
	s.running, s.stop = context.WithCancel(context.Background())
	s.SetSteps(options.Steps)
	s.setAddress(options.AdvertiseAddress)
	return s
}

// setAddress starts the membership anew, which must never dial this daemon.
func (s *Service) setAddress(address string) {
	o := &s.options
	s.mu.Lock()
	defer s.mu.Unlock()
	s.address = address
	s.members = membership.New(membership.Config{
		Self: o.Self, DataCentre: o.DataCentre, Address: address, Seeds: o.Seeds,
		Timeout:     o.SilentAfter,
		FullMeshMax: o.Everyone, LocalPeers: o.NearPicks, RemotePeersPerCentre: o.FarPicks, MaxRemotePeers: o.FarCap,
	})
}

// SetSteps gives the port for forwarded calls; the job owner is built on top of
// this service, so it can come later than New.
func (s *Service) SetSteps(steps StepPort) {
	if steps != nil {
		s.steps.Store(&steps)
	}
}

// Listen opens the peer port. Run does it when it wasn't done before.
func (s *Service) Listen() error {
	if err := s.options.check(); err != nil {
		return err
	}
	s.listener = s.options.Listener
	if s.listener == nil {
		listener, err := net.Listen("tcp", s.options.ListenAddress)
		if err != nil {
			return fmt.Errorf("peer: listen: %w", err)
		}
		s.listener = listener
	}
	if s.options.AdvertiseAddress == "" {
		s.setAddress(s.listener.Addr().String())
	}
	return nil
}

// Address returns where peers reach this daemon.
func (s *Service) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Run serves, dials and exchanges until the context ends; then it closes all
// connections and returns nil. Call it once.
func (s *Service) Run(ctx context.Context) error {
	if s.listener == nil {
		if err := s.Listen(); err != nil {
			return err
		}
	}
	if err := peerpb.DRPCRegisterPeer(s.mux, &server{s}); err != nil {
		return fmt.Errorf("peer: register: %w", err)
	}
	defer s.work.Wait()
	defer s.copies.close()
	defer s.stop()
	defer context.AfterFunc(ctx, s.stop)()
	ctx = s.running
	s.started.Store(true)
	if s.options.Identity == nil {
		s.options.Log.Warn().Msg("peers talk in the clear, the shared token included; see --peer-cert-file")
	}
	s.work.Go(func() { s.serve(ctx) })
	s.work.Go(func() { s.pollList(ctx) })
	s.work.Go(func() { s.followConfig(ctx) })
	s.pushDigests(ctx)
	return nil
}

// pushDigests offers a snapshot to every link each interval, and at once when
// something is urgent.
func (s *Service) pushDigests(ctx context.Context) {
	s.step(membership.Tick{})
	if s.draining.Load() {
		s.step(membership.DrainStarted{})
	}
	for {
		tick := time.NewTimer(jitter(s.options.Interval))
		urgent := false
		select {
		case <-ctx.Done():
			tick.Stop()
			return
		case <-tick.C:
		case <-s.options.Digests.Urgent():
			urgent = true
		case <-s.urgent:
			urgent = true
		}
		tick.Stop()
		s.offerAll(offer{s.snapshot(), urgent})
		s.step(membership.Tick{})
	}
}

func (s *Service) offerAll(o offer) {
	s.mu.Lock()
	links := make([]*link, 0, len(s.links))
	for _, l := range s.links {
		links = append(links, l)
	}
	s.mu.Unlock()
	for _, l := range links {
		l.offer(o)
	}
}

// snapshot gathers what this daemon has to say now.
func (s *Service) snapshot() Snapshot {
	state := s.options.Config.Current()
	snapshot := Snapshot{
		Dispatch: s.options.Digests.Digest(),
		Config:   ConfigPoint{Through: state.AppliedOffset(), Version: state.Version()},
		Draining: s.draining.Load(),
		Known:    s.heardContacts(),
	}
	if v := s.options.Versions; v != nil {
		snapshot.Published = v.Published()
	}
	if t := s.options.Timeline; t != nil {
		snapshot.HLC = t.Clock().Now()
	}
	return snapshot
}

func (s *Service) heardContacts() []membership.Contact {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members.DirectlyLive(time.Now())
}

func (s *Service) hello() *peerpb.Hello {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &peerpb.Hello{
		Vm:          string(s.options.Self),
		DataCentre:  string(s.options.DataCentre),
		Address:     s.address,
		Incarnation: s.incarnation,
	}
}

func (s *Service) nextSeq() uint64 { return s.seq.Add(1) }

func (s *Service) linkCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.links)
}

// Drain takes this daemon out of everybody's ownership set. Connections stay.
func (s *Service) Drain() {
	s.draining.Store(true)
	if s.started.Load() {
		s.step(membership.DrainStarted{})
	}
	s.pushNow()
}

func (s *Service) pushNow() {
	select {
	case s.urgent <- struct{}{}:
	default:
	}
}

// jitter spreads a period over 90 to 110%, so that daemons that start together
// don't stay in step.
func jitter(period time.Duration) time.Duration {
	return period*9/10 + rand.N(period/5+1)
}
