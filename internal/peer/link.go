package peer

import (
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/membership"
	"github.com/dogwoodflow/dogwoodflow/internal/metrics"
	"github.com/dogwoodflow/dogwoodflow/internal/peer/peerpb"
	"github.com/dogwoodflow/dogwoodflow/internal/timeline"
)

var (
	errDuplicate = errors.New("peer: another connection with this VM is kept")
	errSelf      = errors.New("peer: the address is this daemon's own")
	errNoHello   = errors.New("peer: the first digest has no hello")

	digestsSent     = metrics.Counter("peer_digests_sent")
	digestsReceived = metrics.Counter("peer_digests_received")
)

// headerBytes is what TCP and IP add to a small message, with its share of ACKs.
const headerBytes = 60

// digestStream is an Exchange, from either end.
type digestStream interface {
	Send(*peerpb.Digest) error
	Recv() (*peerpb.Digest, error)
}

// link is one Exchange with one peer.
type link struct {
	service *Service
	stream  digestStream
	close   func()   // of the connection; ends Send and Recv
	dialled bool     // by this side
	names   []string // of the peer's certificate

	// Of the peer, from its hello.
	contact     membership.Contact
	incarnation int64

	// Of the sending goroutine.
	encoder   *Encoder
	offers    chan offer // the newest snapshot, at most one
	lastSent  time.Time
	lastExact time.Time
	lastFull  time.Time
	cost      int // bytes of a usual digest with its headers, smoothed

	decoder *Decoder // of the receiving goroutine
}

// offer is a snapshot to send, at once if it is urgent.
type offer struct {
	snapshot Snapshot
	urgent   bool
}

// run exchanges digests until the connection ends. The error is never nil.
func (l *link) run() error {
	l.encoder, l.decoder = NewEncoder(), NewDecoder()
	l.offers = make(chan offer, 1)
	// Both sides send first and then receive: the hello is one small message,
	// which the connection's buffers hold.
	if err := l.sendHello(); err != nil {
		return err
	}
	first, err := l.stream.Recv()
	if err != nil {
		return fmt.Errorf("peer: hello: %w", err)
	}
	if err := l.greet(first); err != nil {
		return err
	}
	if err := l.service.register(l); err != nil {
		return err
	}
	defer l.service.unregister(l)
	done := make(chan struct{})
	sender := make(chan error, 1)
	go func() { sender <- l.send(done) }()
	err = l.receive(first)
	close(done)
	l.close()
	return errors.Join(err, <-sender)
}

func (l *link) sendHello() error {
	s := l.service
	d, _ := l.encoder.Encode(s.snapshot(), Full)
	d.Hello = s.hello()
	return l.write(d)
}

func (l *link) greet(d *peerpb.Digest) error {
	hello := d.GetHello()
	if hello == nil || hello.GetVm() == "" {
		return errNoHello
	}
	l.contact = membership.Contact{
		VM:         ident.VM(hello.GetVm()),
		DataCentre: ident.DataCentre(hello.GetDataCentre()),
		Address:    hello.GetAddress(),
	}
	l.incarnation = hello.GetIncarnation()
	if l.service.options.Identity != nil {
		if err := checkName(l.names, l.contact.VM); err != nil {
			return err
		}
	}
	if l.contact.VM == l.service.options.Self {
		return errSelf
	}
	return nil
}

func (l *link) receive(d *peerpb.Digest) error {
	for {
		if err := l.take(d); err != nil {
			return err
		}
		var err error
		if d, err = l.stream.Recv(); err != nil {
			return fmt.Errorf("peer: receive: %w", err)
		}
	}
}

func (l *link) take(d *peerpb.Digest) error {
	digestsReceived.Add(1)
	snapshot, err := l.decoder.Decode(d)
	if err != nil {
		return err
	}
	l.service.heard(l, d.GetSeq(), snapshot)
	if d.GetFull() || len(d.GetKnown()) > 0 || len(d.GetKnownGone()) > 0 {
		l.service.vouched(l, snapshot.Known)
	}
	return nil
}

// offer replaces what waits to be sent. An urgent one stays urgent.
func (l *link) offer(o offer) {
	for {
		select {
		case l.offers <- o:
			return
		case old := <-l.offers:
			o.urgent = o.urgent || old.urgent
		}
	}
}

// send writes what is offered, as often as the pace allows. A write that can't
// go on for lack of a living reader ends by its deadline.
func (l *link) send(done <-chan struct{}) error {
	for {
		select {
		case <-done:
			return nil
		case o := <-l.offers:
			if err := l.sendOffer(o); err != nil {
				l.close()
				return err
			}
		}
	}
}

func (l *link) sendOffer(o offer) error {
	options := &l.service.options
	now := time.Now()
	since := now.Sub(l.lastSent)
	if !o.urgent && since < l.pace() {
		return nil // a newer snapshot comes with the next tick
	}
	d, news := l.encoder.Encode(o.snapshot, l.detail(now))
	// Half a tick early rather than half a tick late.
	if !news && since < options.Heartbeat-options.Interval/2 {
		return nil
	}
	return l.write(d)
}

// detail heals what the thresholds left inexact now and then, and repeats
// everything rarely, since a full digest of a large fleet is tens of kilobytes.
func (l *link) detail(now time.Time) Detail {
	options := &l.service.options
	switch {
	case now.Sub(l.lastFull) >= options.FullEvery:
		l.lastFull, l.lastExact = now, now
		return Full
	case now.Sub(l.lastExact) >= options.ExactEvery:
		l.lastExact = now
		return Exact
	}
	return Delta
}

// pace stretches the interval so that digests to all peers together stay
// within the budget of bytes, but not past the heartbeat.
func (l *link) pace() time.Duration {
	options := &l.service.options
	budget := time.Duration(l.service.linkCount()*l.cost) * time.Second / time.Duration(options.BytesPerSecond)
	// The tick itself is jittered; a little slack keeps it from being missed.
	slack := options.Interval / 4
	return min(max(budget, options.Interval), options.Heartbeat-options.Interval/2) - slack
}

func (l *link) write(d *peerpb.Digest) error {
	d.Seq = l.service.nextSeq()
	if err := l.stream.Send(d); err != nil {
		return fmt.Errorf("peer: send: %w", err)
	}
	digestsSent.Add(1)
	l.lastSent = time.Now()
	if l.lastFull.IsZero() { // the hello
		l.lastFull, l.lastExact = l.lastSent, l.lastSent
	}
	l.weigh(proto.Size(d) + headerBytes)
	return nil
}

func (l *link) weigh(size int) {
	if l.cost == 0 {
		l.cost = headerBytes
	}
	l.cost += (size - l.cost) / 8
}

func (l *link) mergeClock(stamp timeline.Stamp) {
	if t := l.service.options.Timeline; t != nil {
		t.Clock().Merge(stamp)
	}
}
