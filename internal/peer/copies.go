package peer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"

	"github.com/dogwoodflow/dogwoodflow/internal/dispatch"
	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/metrics"
	"github.com/dogwoodflow/dogwoodflow/internal/peer/peerpb"
	"github.com/dogwoodflow/dogwoodflow/internal/poison"
)

const (
	// askTimeout bounds what a caller's request waits for another daemon, which is some
	// milliseconds away. The request can go on without an answer.
	askTimeout = 50 * time.Millisecond
	// askAgain is how long a daemon that didn't answer isn't asked: frozen or parted, it
	// would cost each request the timeout until membership gives it up.
	askAgain = time.Second
	// asksAtOnce bounds the connections to one daemon. An answer takes well below a
	// millisecond of its time.
	asksAtOnce = 8
	// askConnLife keeps an idle connection shorter than its watch for silence does.
	askConnLife = 2 * time.Second
)

var (
	errSilentHome = errors.New("peer: didn't answer a moment ago")

	copiesAsked = metrics.Counter("peer_copies_asked")
	copiesLost  = metrics.Counter("peer_copies_unanswered")
)

var _ dispatch.Placer = (*Service)(nil)

// CopyPort is the dispatcher: it places the copies of requests that this daemon owns.
type CopyPort interface {
	PlaceHere(c poison.Copy) ident.Upstream
}

// Place implements dispatch.Placer: the daemon that owns a fingerprint places all
// copies of the request. While views of the fleet differ there may be two such daemons.
func (s *Service) Place(ctx context.Context, c poison.Copy) (ident.Upstream, error) {
	vm, self := s.Owner(c.Fingerprint.String())
	if self {
		return s.options.Copies.PlaceHere(c), nil
	}
	return s.copies.ask(ctx, vm, c)
}

// copyAsker asks other daemons where copies run. State is by daemon.
type copyAsker struct {
	service *Service
	pool    *drpcpool.Pool[contactKey, *drpcconn.Conn]

	mu    sync.Mutex
	homes map[ident.VM]*home
}

// contactKey is a daemon at an address, which it leaves with its VM.
type contactKey struct {
	vm      ident.VM
	address string
}

// home is what is known of one daemon that places copies.
type home struct {
	slots       chan struct{}
	silentUntil time.Time // guarded by copyAsker.mu
}

func newCopyAsker(s *Service) *copyAsker {
	return &copyAsker{
		service: s,
		pool:    drpcpool.New[contactKey, *drpcconn.Conn](drpcpool.Options{Expiration: askConnLife, KeyCapacity: asksAtOnce}),
		homes:   map[ident.VM]*home{},
	}
}

func (a *copyAsker) ask(ctx context.Context, vm ident.VM, c poison.Copy) (ident.Upstream, error) {
	h, silent := a.home(vm)
	if silent {
		return "", errSilentHome
	}
	copiesAsked.Add(1)
	limited, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	at, err := a.call(limited, h, vm, c)
	if err != nil && ctx.Err() == nil {
		copiesLost.Add(1)
		a.unanswered(h, vm, err)
	}
	return at, err
}

func (a *copyAsker) call(ctx context.Context, h *home, vm ident.VM, c poison.Copy) (ident.Upstream, error) {
	select {
	case h.slots <- struct{}{}:
	case <-ctx.Done():
		return "", ctx.Err()
	}
	defer func() { <-h.slots }()
	address, ok := a.service.addressOf(vm)
	if !ok {
		return "", fmt.Errorf("%w: %s", ErrUnknownVM, vm)
	}
	conn := a.pool.Get(ctx, contactKey{vm, address}, a.dial)
	defer func() { _ = conn.Close() }() // of this use; the pool keeps the connection
	reply, err := peerpb.NewDRPCPeerClient(conn).PlaceCopy(withToken(ctx, a.service.options.Token), encodeCopy(c))
	if err != nil {
		return "", fmt.Errorf("peer: place a copy at %s: %w", vm, err)
	}
	return ident.Upstream(reply.GetUpstream()), nil
}

func (a *copyAsker) dial(ctx context.Context, to contactKey) (*drpcconn.Conn, error) {
	return a.service.connect(ctx, to.vm, to.address)
}

func (a *copyAsker) home(vm ident.VM) (h *home, silent bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	h = a.homes[vm]
	if h == nil {
		h = &home{slots: make(chan struct{}, asksAtOnce)}
		a.homes[vm] = h
	}
	return h, time.Now().Before(h.silentUntil)
}

// unanswered leaves a daemon alone for a while. Of the asks under way at that moment
// the first one is logged.
func (a *copyAsker) unanswered(h *home, vm ident.VM, err error) {
	now := time.Now()
	a.mu.Lock()
	first := now.After(h.silentUntil)
	h.silentUntil = now.Add(askAgain)
	a.mu.Unlock()
	if first {
		a.service.options.Log.Warn().Err(err).Str("peer", string(vm)).Dur("left_alone_ms", askAgain).
			Msg("daemon didn't say where copies of a request run")
	}
}

// forget drops what is known of a daemon that left.
func (a *copyAsker) forget(vm ident.VM) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.homes, vm)
}

func (a *copyAsker) close() { _ = a.pool.Close() } // of idle connections

// PlaceCopy implements the peer protocol.
func (p *server) PlaceCopy(_ context.Context, in *peerpb.PlaceCopyRequest) (*peerpb.PlaceCopyReply, error) {
	at := p.service.options.Copies.PlaceHere(decodeCopy(in))
	return &peerpb.PlaceCopyReply{Upstream: string(at)}, nil
}

func encodeCopy(c poison.Copy) *peerpb.PlaceCopyRequest {
	return &peerpb.PlaceCopyRequest{
		Fingerprint: uint64(c.Fingerprint), Vm: string(c.Sender.VM), Number: c.Sender.Number, Wanted: string(c.Wanted),
	}
}

func decodeCopy(in *peerpb.PlaceCopyRequest) poison.Copy {
	return poison.Copy{
		Fingerprint: poison.Fingerprint(in.GetFingerprint()),
		Sender:      poison.Sender{VM: ident.VM(in.GetVm()), Number: in.GetNumber()},
		Wanted:      ident.Upstream(in.GetWanted()),
	}
}
