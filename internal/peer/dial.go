package peer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/membership"
	"github.com/dogwoodflow/dogwoodflow/internal/metrics"
	"github.com/dogwoodflow/dogwoodflow/internal/peer/peerpb"

	"github.com/dogwoodflow/dogwoodflow/internal/pause"
)

// Redialling waits from the least to the most, doubling, with jitter.
const (
	leastBackoff = 100 * time.Millisecond
	mostBackoff  = 5 * time.Second
)

// maxMessage bounds one drpc message in bytes, on both ends.
const maxMessage = 4 << 20

var dialFailures = metrics.Counter("peer_dial_failures")

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessage}}
}

// connect dials a peer for one stream or call. vm is "" for a seed, whose name
// isn't known yet. The caller closes the connection.
func (s *Service) connect(ctx context.Context, vm ident.VM, address string) (*drpcconn.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, s.options.DialTimeout)
	defer cancel()
	raw, err := s.options.Dial(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("peer: dial %s: %w", address, err)
	}
	watched := &watchedConn{Conn: raw, silence: s.options.SilentAfter}
	if identity := s.options.Identity; identity != nil {
		if watched.Conn, watched.names, err = identity.secureDialled(ctx, raw, vm); err != nil {
			return nil, fmt.Errorf("peer: dial %s: %w", address, err)
		}
	}
	return drpcconn.NewWithOptions(watched, drpcconn.Options{Manager: managerOptions()}), nil
}

// keepDialled keeps an exchange with a contact up until the context ends; one
// that stands then goes on. It
// leaves the dialling to the other side where that one did it already.
func (s *Service) keepDialled(ctx context.Context, c membership.Contact) {
	vm := c.VM // of a seed: learnt from its hello
	backoff := leastBackoff
	if vm != "" && vm < s.options.Self {
		// The lower name's connection is the one kept: give it time to come.
		pause.For(ctx, jitter(2*leastBackoff))
	}
	for ctx.Err() == nil {
		if vm != "" && s.linked(vm) {
			pause.For(ctx, jitter(s.options.Interval))
			continue
		}
		began := time.Now()
		met, err := s.exchange(s.running, vm, c.Address)
		if met != "" {
			vm = met
		}
		if errors.Is(err, errSelf) {
			return
		}
		s.dialEnded(c, met, err)
		if time.Since(began) > s.options.SilentAfter {
			backoff = leastBackoff // it stood for a while
		}
		pause.For(ctx, jitter(backoff))
		backoff = min(2*backoff, mostBackoff)
	}
}

// dialEnded tells membership of a VM that couldn't be reached.
func (s *Service) dialEnded(c membership.Contact, met ident.VM, err error) {
	if s.running.Err() != nil || errors.Is(err, errDuplicate) {
		return
	}
	s.noteRefusal(err)
	s.options.Log.Debug().Err(err).Str("address", c.Address).Msg("peer connection ended")
	if met == "" {
		dialFailures.Add(1)
		s.step(membership.Unreachable{VM: c.VM})
	}
}

// exchange runs one dialled exchange to its end and returns the VM that
// answered, if one did.
func (s *Service) exchange(ctx context.Context, vm ident.VM, address string) (ident.VM, error) {
	conn, err := s.connect(ctx, vm, address)
	if err != nil {
		return "", err
	}
	closeConn := func() { _ = conn.Close() }
	defer closeConn()
	stop := context.AfterFunc(ctx, closeConn)
	defer stop()
	stream, err := peerpb.NewDRPCPeerClient(conn).Exchange(withToken(ctx, s.options.Token))
	if err != nil {
		return "", fmt.Errorf("peer: exchange: %w", err)
	}
	l := &link{service: s, stream: stream, close: closeConn, dialled: true, names: namesOf(conn.Transport())}
	err = l.run()
	return l.contact.VM, err
}
