package peer

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcctx"
	"storj.io/drpc/drpcserver"

	"github.com/dogwoodflow/dogwoodflow/internal/peer/peerpb"

	"github.com/dogwoodflow/dogwoodflow/internal/pause"
)

// maxConnections bounds how many connections peers may hold open here.
const maxConnections = 1024

// server answers the calls of peers.
type server struct{ service *Service }

// serve accepts connections until the context ends.
func (s *Service) serve(ctx context.Context) {
	var refusal sync.Once
	refused := func() {
		refusal.Do(func() { s.options.Log.Warn().Msg("a peer connection showed a wrong token; counted from here on") })
	}
	handler := newGuard(s.options.Token, s.mux, refused)
	drpcServer := drpcserver.NewWithOptions(handler, drpcserver.Options{Manager: managerOptions()})
	stop := context.AfterFunc(ctx, func() { _ = s.listener.Close() })
	defer stop()
	slots := make(chan struct{}, maxConnections)
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return
		}
		if err != nil { // out of file descriptors, or reset while queued
			pause.For(ctx, jitter(leastBackoff))
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			_ = conn.Close() // the peer dials again later
			continue
		}
		s.work.Go(func() {
			defer func() { <-slots }()
			watched, err := s.accepted(ctx, conn)
			if err != nil {
				s.noteRefusal(err)
				return
			}
			_ = drpcServer.ServeOne(ctx, watched) // ends with the connection, always with an error
		})
	}
}

// accepted proves who is at the other end, if this daemon has an identity. It
// gives a stranger no longer than a dial may take.
func (s *Service) accepted(ctx context.Context, conn net.Conn) (_ *watchedConn, err error) {
	watched := &watchedConn{Conn: conn, silence: s.options.SilentAfter}
	if identity := s.options.Identity; identity != nil {
		ctx, cancel := context.WithTimeout(ctx, s.options.DialTimeout)
		defer cancel()
		watched.Conn, watched.names, err = identity.secureAccepted(ctx, conn)
	}
	return watched, err
}

// Exchange implements the peer protocol.
func (p *server) Exchange(stream peerpb.DRPCPeer_ExchangeStream) error {
	closeConn := func() { closeTransport(stream) }
	defer closeConn()
	transport, _ := drpcctx.Transport(stream.Context())
	l := &link{service: p.service, stream: stream, close: closeConn, names: namesOf(transport)}
	err := l.run()
	p.service.noteRefusal(err)
	return err
}

// FetchConfig implements the peer protocol.
func (p *server) FetchConfig(_ *peerpb.FetchConfigRequest, stream peerpb.DRPCPeer_FetchConfigStream) error {
	return p.answer(stream, func(context.Context) ([]byte, error) {
		return p.service.options.Config.Current().Marshal()
	})
}

// partStream is the sending end of a streamed body.
type partStream interface {
	drpc.Stream
	Send(*peerpb.Part) error
}

// answer sends what make returns in parts, and an empty part each heartbeat
// until then, so that the caller can tell a slow answer from a dead VM.
func (p *server) answer(stream partStream, make func(context.Context) ([]byte, error)) error {
	allowSilence(stream, true)
	defer allowSilence(stream, false)
	body, err := p.wait(stream, make)
	if err != nil {
		return stream.Send(&peerpb.Part{Fault: encodeFault(err), Last: true})
	}
	return sendBody(stream, nil, body)
}

type made struct {
	body []byte
	err  error
}

func (p *server) wait(stream partStream, make func(context.Context) ([]byte, error)) ([]byte, error) {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	result := newResult(ctx, make)
	beat := time.NewTicker(p.service.options.Heartbeat)
	defer beat.Stop()
	for {
		select {
		case r := <-result:
			return r.body, r.err
		case <-beat.C:
			if err := stream.Send(&peerpb.Part{}); err != nil {
				cancel() // nobody waits any more
				r := <-result
				return r.body, errors.Join(err, r.err)
			}
		}
	}
}

func newResult(ctx context.Context, work func(context.Context) ([]byte, error)) <-chan made {
	result := make(chan made, 1)
	go func() {
		body, err := work(ctx)
		result <- made{body, err}
	}()
	return result
}

func allowSilence(stream drpc.Stream, allowed bool) {
	transport, _ := drpcctx.Transport(stream.Context())
	if watched, ok := transport.(*watchedConn); ok {
		watched.allowSilence(allowed)
	}
}
