package peer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcctx"

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
	// askConnLife is how long a connection is kept without a question.
	askConnLife = 30 * time.Second
)

var (
	errSilentHome   = errors.New("peer: didn't answer a moment ago")
	errNotConnected = errors.New("peer: no connection yet")

	copiesAsked = metrics.Counter("peer_copies_asked")
	copiesLost  = metrics.Counter("peer_copies_unanswered")
)

var _ dispatch.CopyPlacer = (*Service)(nil)

// CopyPort is the dispatcher: it places the copies of requests that this daemon owns.
type CopyPort interface {
	PlaceHere(c poison.Copy) ident.Upstream
}

// PlaceCopy implements dispatch.CopyPlacer: the daemon that owns a fingerprint places all
// copies of the request. While views of the fleet differ there may be two such daemons.
func (s *Service) PlaceCopy(ctx context.Context, c poison.Copy) (ident.Upstream, error) {
	vm, self := s.Owner(c.Fingerprint.String())
	if self {
		return s.options.Copies.PlaceHere(c), nil
	}
	return s.copies.ask(ctx, vm, c)
}

// copyAsker asks other daemons where copies run, each over a few kept connections. A
// question waits for no connection to be made: a caller's request would wait with it.
type copyAsker struct {
	service *Service

	mu     sync.Mutex
	homes  map[ident.VM]*home
	closed bool
}

// home is what is known of one daemon that places copies, guarded by the asker's lock.
type home struct {
	idle        []idleConn // the one used last at the end
	open        int        // connections, those in use and being made included
	silentUntil time.Time
}

type idleConn struct {
	*drpcconn.Conn
	since time.Time
}

func newCopyAsker(s *Service) *copyAsker {
	return &copyAsker{service: s, homes: map[ident.VM]*home{}}
}

func (a *copyAsker) ask(ctx context.Context, vm ident.VM, c poison.Copy) (ident.Upstream, error) {
	conn, err := a.take(vm, time.Now())
	if err != nil {
		return "", err
	}
	copiesAsked.Add(1)
	limited, cancel := context.WithTimeout(withToken(ctx, a.service.options.Token), askTimeout)
	defer cancel()
	reply, err := peerpb.NewDRPCPeerClient(conn).PlaceCopy(limited, encodeCopy(c))
	if err == nil {
		a.put(vm, conn, time.Now())
		return ident.Upstream(reply.GetUpstream()), nil
	}
	a.drop(vm, conn)
	if ctx.Err() == nil {
		copiesLost.Add(1)
		a.unanswered(vm, err)
	}
	return "", fmt.Errorf("peer: place a copy at %s: %w", vm, err)
}

func (a *copyAsker) homeLocked(vm ident.VM) *home {
	h := a.homes[vm]
	if h == nil {
		h = &home{}
		a.homes[vm] = h
	}
	return h
}

// take returns a connection that is at hand. If there is none it has one made for the
// questions to come.
func (a *copyAsker) take(vm ident.VM, now time.Time) (*drpcconn.Conn, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	h := a.homeLocked(vm)
	if now.Before(h.silentUntil) {
		return nil, errSilentHome
	}
	for len(h.idle) > 0 {
		last := h.idle[len(h.idle)-1]
		h.idle = h.idle[:len(h.idle)-1]
		if !isClosed(last.Conn) {
			return last.Conn, nil
		}
		h.open--
	}
	a.openLocked(vm, h)
	return nil, errNotConnected
}

// put keeps a connection for the next question and closes those that rested too long.
func (a *copyAsker) put(vm ident.VM, conn *drpcconn.Conn, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	h := a.homeLocked(vm)
	h.idle = append(h.idle, idleConn{conn, now})
	if a.closed {
		h.close()
	}
	for len(h.idle) > 1 && now.Sub(h.idle[0].since) > askConnLife {
		_ = h.idle[0].Close() // nothing is under way on it
		h.idle = h.idle[1:]
		h.open--
	}
}

func (a *copyAsker) drop(vm ident.VM, conn *drpcconn.Conn) {
	_ = conn.Close() // it failed already
	a.mu.Lock()
	defer a.mu.Unlock()
	a.homeLocked(vm).open--
}

// warm has a connection at hand before the first question.
func (a *copyAsker) warm(vm ident.VM) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if h := a.homeLocked(vm); h.open == 0 {
		a.openLocked(vm, h)
	}
}

func (a *copyAsker) openLocked(vm ident.VM, h *home) {
	if a.closed || h.open >= asksAtOnce {
		return
	}
	h.open++
	a.service.work.Go(func() { a.open(vm) })
}

func (a *copyAsker) open(vm ident.VM) {
	conn, err := a.dial(vm)
	if err == nil {
		a.put(vm, conn, time.Now())
		return
	}
	a.mu.Lock()
	a.homeLocked(vm).open--
	a.mu.Unlock()
	if a.service.running.Err() == nil {
		a.unanswered(vm, err)
	}
}

func (a *copyAsker) dial(vm ident.VM) (*drpcconn.Conn, error) {
	address, ok := a.service.addressOf(vm)
	if !ok {
		return nil, fmt.Errorf("%w: %s", ErrUnknownVM, vm)
	}
	conn, err := a.service.connect(a.service.running, vm, address)
	if err != nil {
		return nil, err
	}
	// It rests between questions, each of which has a timeout of its own.
	if watched, ok := conn.Transport().(*watchedConn); ok {
		watched.allowSilence(true)
	}
	return conn, nil
}

func isClosed(conn *drpcconn.Conn) bool {
	select {
	case <-conn.Closed():
		return true
	default:
		return false
	}
}

// unanswered leaves a daemon alone for a while. Of the questions that fail at one moment
// the first one is logged.
func (a *copyAsker) unanswered(vm ident.VM, err error) {
	now := time.Now()
	a.mu.Lock()
	h := a.homeLocked(vm)
	first := now.After(h.silentUntil)
	h.silentUntil = now.Add(askAgain)
	a.mu.Unlock()
	if first {
		a.service.options.Log.Warn().Err(err).Str("peer", string(vm)).Dur("left_alone_ms", askAgain).
			Msg("daemon didn't say where copies of a request run")
	}
}

// forget closes the connections to a daemon that left.
func (a *copyAsker) forget(vm ident.VM) {
	a.mu.Lock()
	defer a.mu.Unlock()
	h := a.homeLocked(vm)
	h.close()
	if h.open == 0 {
		delete(a.homes, vm)
	}
}

// close closes what rests; what is in use or being made is closed when it is put back.
func (a *copyAsker) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	for _, h := range a.homes {
		h.close()
	}
}

func (h *home) close() {
	for _, conn := range h.idle {
		_ = conn.Close() // nothing is under way on it
	}
	h.open -= len(h.idle)
	h.idle = nil
}

// PlaceCopy implements the peer protocol.
func (p *server) PlaceCopy(ctx context.Context, in *peerpb.PlaceCopyRequest) (*peerpb.PlaceCopyReply, error) {
	// The connection rests between questions; TCP's keep-alive finds a dead daemon.
	if transport, ok := drpcctx.Transport(ctx); ok {
		if watched, ok := transport.(*watchedConn); ok {
			watched.allowSilence(true)
		}
	}
	at := p.service.options.Copies.PlaceHere(decodeCopy(in))
	return &peerpb.PlaceCopyReply{Upstream: string(at)}, nil
}

func encodeCopy(c poison.Copy) *peerpb.PlaceCopyRequest {
	return &peerpb.PlaceCopyRequest{
		Fingerprint: uint64(c.Fingerprint), Vm: string(c.Sender.VM), Number: c.Sender.Sequence, Wanted: string(c.Preferred),
	}
}

func decodeCopy(in *peerpb.PlaceCopyRequest) poison.Copy {
	return poison.Copy{
		Fingerprint: poison.Fingerprint(in.GetFingerprint()),
		Sender:      poison.Sender{VM: ident.VM(in.GetVm()), Sequence: in.GetNumber()},
		Preferred:   ident.Upstream(in.GetWanted()),
	}
}
