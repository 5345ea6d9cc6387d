package batchpeer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/dogwoodflow/dogwoodflow/internal/batchrun"
	"github.com/dogwoodflow/dogwoodflow/internal/locate"
	"github.com/dogwoodflow/dogwoodflow/internal/peer/peerpb"

	"github.com/dogwoodflow/dogwoodflow/internal/pause"
)

const (
	// maxConnections bounds the connections of other daemons, of which each has up to
	// keptPerDaemon: far below the descriptors of a small VM.
	maxConnections = 1024
	// acceptPause follows a connection that couldn't be accepted, for lack of descriptors.
	acceptPause = 100 * time.Millisecond
	// idleConnTimeout closes a connection without a call, such as one whose daemon lost
	// power: no reset comes. It is above the client's, which closes first.
	idleConnTimeout = 3 * idleTimeout
)

// Holder answers for the batches that are held here; batchrun.Here is it.
type Holder interface {
	Locate(ctx context.Context, id string, confirm bool) locate.Answer
	List(ctx context.Context, id string, after int, wait time.Duration) (batchrun.Listing, error)
	End(ctx context.Context, id string) error
	Body(ctx context.Context, id, item string) (batchrun.BodyAt, error)
}

// Serve answers other daemons on a listener until the context ends. It returns when all
// calls have ended.
func Serve(ctx context.Context, listener net.Listener, holder Holder, log zerolog.Logger) error {
	calls := drpcmux.New()
	if err := peerpb.DRPCRegisterBatches(calls, &server{holder}); err != nil {
		return fmt.Errorf("batchpeer: register: %w", err)
	}
	options := managerOptions()
	options.InactivityTimeout = idleConnTimeout
	drpcServer := drpcserver.NewWithOptions(calls, drpcserver.Options{Manager: options})
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() }) // ends Accept
	defer stop()
	var work sync.WaitGroup
	defer work.Wait()
	slots := make(chan struct{}, maxConnections)
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return nil
		}
		if err != nil {
			log.Warn().Err(err).Msg("daemon's connection not accepted")
			pause.For(ctx, acceptPause)
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			log.Warn().Int("connections", maxConnections).Msg("too many connections of daemons, one closed")
			_ = conn.Close() // the daemon asks elsewhere
			continue
		}
		work.Go(func() {
			defer func() { <-slots }()
			_ = drpcServer.ServeOne(ctx, conn) // ends with the connection, always with an error
		})
	}
}

// server turns messages into calls.
type server struct{ holder Holder }

// Locate implements the daemons' protocol.
func (s *server) Locate(ctx context.Context, in *peerpb.LocateRequest) (*peerpb.LocateReply, error) {
	answer := s.holder.Locate(ctx, in.GetBatch(), in.GetConfirm())
	reply := &peerpb.LocateReply{Found: answer.Found}
	for _, part := range answer.Confirmed {
		reply.Confirmed = append(reply.Confirmed, uint32(part))
	}
	return reply, nil
}

// List implements the daemons' protocol.
func (s *server) List(ctx context.Context, in *peerpb.ListRequest) (*peerpb.ListReply, error) {
	l, err := s.holder.List(ctx, in.GetBatch(), int(in.GetAfter()), time.Duration(in.GetWaitMs())*time.Millisecond)
	if err != nil {
		return &peerpb.ListReply{Outcome: outcomeOf(err)}, nil
	}
	return encodeListing(l), nil
}

// End implements the daemons' protocol.
func (s *server) End(ctx context.Context, in *peerpb.EndRequest) (*peerpb.EndReply, error) {
	return &peerpb.EndReply{Outcome: outcomeOf(s.holder.End(ctx, in.GetBatch()))}, nil
}

// Body implements the daemons' protocol.
func (s *server) Body(ctx context.Context, in *peerpb.BodyRequest) (*peerpb.BodyReply, error) {
	at, err := s.holder.Body(ctx, in.GetBatch(), in.GetSample())
	return &peerpb.BodyReply{Outcome: outcomeOf(err), Part: uint32(at.Part), At: at.At, Index: uint32(at.Index), Blob: at.Blob}, nil
}
