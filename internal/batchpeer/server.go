package batchpeer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/dogwoodflow/dogwoodflow/internal/batchrun"
	"github.com/dogwoodflow/dogwoodflow/internal/locate"
	"github.com/dogwoodflow/dogwoodflow/internal/peer/peerpb"

	"github.com/dogwoodflow/dogwoodflow/internal/pause"
)

const (
	// maxConnections bounds the connections from other daemons, each of which keeps up to
	// maxIdlePerDaemon idle. It is far below the file descriptor limit of a small VM.
	maxConnections = 1024
	// acceptRetryDelay is the pause after a connection could not be accepted, as when file
	// descriptors ran out.
	acceptRetryDelay = 100 * time.Millisecond
	// idleConnTimeout is when the server closes an idle connection, such as one from a daemon
	// that lost power without a reset. It is longer than idleTimeout, so that normally the
	// client closes first.
	idleConnTimeout = 3 * idleTimeout
)

// Handler handles calls on the batches that are held locally. batchrun.LocalHandler implements it.
type Handler interface {
	// Locate reports whether the batch with this ID is held here. With confirm, partitions
	// where it was not found catch up with the log first.
	Locate(ctx context.Context, id string, confirm bool) locate.Answer
	// List returns the results of a batch after the first "after" ones. If there are none yet,
	// it waits for the first, up to wait.
	List(ctx context.Context, id string, after int, wait time.Duration) (batchrun.Listing, error)
	// End ends a batch.
	End(ctx context.Context, id string) error
	// Body returns where the body of a sample of a batch is stored; item is the sample's ID.
	Body(ctx context.Context, id, item string) (batchrun.BodyLocation, error)
}

// Serve serves calls from other daemons on a listener until the context ends, and closes the
// listener. Each of register adds another drpc service. Serve returns when all calls have ended.
func Serve(ctx context.Context, listener net.Listener, handler Handler, log zerolog.Logger, register ...func(drpc.Mux) error) error {
	mux := drpcmux.New()
	err := peerpb.DRPCRegisterBatches(mux, &server{handler})
	for _, r := range register {
		err = errors.Join(err, r(mux))
	}
	if err != nil {
		return fmt.Errorf("batchpeer: register: %w", err)
	}
	options := managerOptions()
	options.InactivityTimeout = idleConnTimeout
	drpcServer := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: options})
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() }) // makes Accept return
	defer stop()
	var conns sync.WaitGroup
	defer conns.Wait()
	slots := make(chan struct{}, maxConnections)
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return nil
		}
		if err != nil {
			log.Warn().Err(err).Msg("accepting a daemon's connection failed")
			pause.For(ctx, acceptRetryDelay)
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			log.Warn().Int("connections", maxConnections).Msg("too many connections from daemons; closed the new one")
			_ = conn.Close() // that daemon queries another one
			continue
		}
		conns.Go(func() {
			defer func() { <-slots }()
			_ = drpcServer.ServeOne(ctx, conn) // always returns an error when the connection ends
		})
	}
}

// server implements the drpc service by a Handler.
type server struct{ handler Handler }

// Locate implements peerpb.DRPCBatchesServer.
func (s *server) Locate(ctx context.Context, in *peerpb.LocateRequest) (*peerpb.LocateReply, error) {
	answer := s.handler.Locate(ctx, in.GetBatch(), in.GetConfirm())
	reply := &peerpb.LocateReply{Found: answer.Found}
	for _, partition := range answer.Confirmed {
		reply.Confirmed = append(reply.Confirmed, uint32(partition))
	}
	return reply, nil
}

// List implements peerpb.DRPCBatchesServer.
func (s *server) List(ctx context.Context, in *peerpb.ListRequest) (*peerpb.ListReply, error) {
	listing, err := s.handler.List(ctx, in.GetBatch(), int(in.GetAfter()), time.Duration(in.GetWaitMs())*time.Millisecond)
	if err != nil {
		return &peerpb.ListReply{Outcome: outcomeOf(err)}, nil
	}
	return encodeListing(listing), nil
}

// End implements peerpb.DRPCBatchesServer.
func (s *server) End(ctx context.Context, in *peerpb.EndRequest) (*peerpb.EndReply, error) {
	return &peerpb.EndReply{Outcome: outcomeOf(s.handler.End(ctx, in.GetBatch()))}, nil
}

// Body implements peerpb.DRPCBatchesServer.
func (s *server) Body(ctx context.Context, in *peerpb.BodyRequest) (*peerpb.BodyReply, error) {
	at, err := s.handler.Body(ctx, in.GetBatch(), in.GetSample())
	return &peerpb.BodyReply{Outcome: outcomeOf(err), Part: uint32(at.Partition), At: at.Offset, Index: uint32(at.Index), Blob: at.Blob}, nil
}
