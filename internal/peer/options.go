// Package peer is what daemons do with one another: they exchange digests of
// load, health and configuration, agree roughly on who is alive and who owns a
// key, forward steps to their owner and answer for each other's time lines.
//
// Any of it may be late or lost. Nothing that must not happen twice is decided
// by what a peer says.
package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/rs/zerolog"

	"github.com/dogwoodflow/dogwoodflow/internal/config"
	"github.com/dogwoodflow/dogwoodflow/internal/dispatch"
	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/infra"
	"github.com/dogwoodflow/dogwoodflow/internal/rollouts"
	"github.com/dogwoodflow/dogwoodflow/internal/timeline"
)

// DigestSource is the dispatcher.
type DigestSource interface {
	Digest() dispatch.Digest
	// Merge takes what a peer says as a whole; it must not change it.
	Merge(from ident.VM, d dispatch.Digest)
	Forget(vm ident.VM)
	// Urgent says that peers must hear the digest at once.
	Urgent() <-chan struct{}
}

// ConfigPort is confsync.Store.
type ConfigPort interface {
	Current() *config.State
	UpdateIfNewer(*config.State) bool
	Changed() <-chan struct{}
}

// StepPort is rollouts.Manager: what a forwarded call runs.
type StepPort interface {
	SubmitLocal(context.Context, ident.Team, ident.Job, ident.Step, rollouts.SubmitRequest) (rollouts.SubmitResponse, error)
	PullLocal(context.Context, ident.Team, ident.Job, ident.Step, rollouts.PullRequest) (*rollouts.PullResponse, error)
	StatusLocal(context.Context, ident.Team, ident.Job, ident.Step) (rollouts.StatusResponse, error)
	CancelLocal(context.Context, ident.Team, ident.Job, ident.Step) error
	ListLocal(context.Context, ident.Team) ([]rollouts.StatusResponse, error)
}

// TimelinePort is timeline.Recorder.
type TimelinePort interface {
	Query(timeline.Filter) []timeline.Event
	Add(timeline.Event)
	Clock() *timeline.Clock
}

// VersionPort knows the newest weight versions in the store.
type VersionPort interface {
	Published() map[ident.Model]ident.Version
	// Learn takes in that a peer saw a version in the store.
	Learn(model ident.Model, version ident.Version)
}

// Options configures a Service. The zero durations mean the defaults.
type Options struct {
	Self             ident.VM
	DataCentre       ident.DataCentre
	ListenAddress    string       // ip:port; ignored when Listener is set
	Listener         net.Listener // optional, for tests
	AdvertiseAddress string       // ip:port at which peers reach this daemon; "" is the listener's
	Token            string       // the peers' shared secret
	Identity         *Identity    // nil: peers talk in the clear
	Seeds            []string     // ip:port of some daemons

	Digests  DigestSource
	Copies   CopyPort
	Config   ConfigPort
	Steps    StepPort     // may be set later with SetSteps
	Timeline TimelinePort // may be nil
	Versions VersionPort  // may be nil

	VMs               infra.VMLister // may be nil
	OnLeavingUpstream func(ident.Upstream)

	Log zerolog.Logger

	Interval       time.Duration // between digests that say something
	Heartbeat      time.Duration // between digests that say nothing
	ExactEvery     time.Duration // between digests that state small changes too
	FullEvery      time.Duration // between full digests
	SilentAfter    time.Duration // a peer or connection silent for longer is given up
	DialTimeout    time.Duration
	ConfigLag      time.Duration // the log's head start before a peer's state is fetched
	ListEvery      time.Duration // between polls of the VM list
	BytesPerSecond int           // all digests sent; stretches Interval up to Heartbeat
	Everyone       int           // see membership.Config, as the next three
	NearPicks      int
	FarPicks       int
	FarCap         int

	// Dial replaces the network's dialler, for tests.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Defaults of Options.
const (
	DefaultInterval       = 300 * time.Millisecond
	DefaultHeartbeat      = time.Second
	DefaultExactEvery     = 30 * time.Second
	DefaultFullEvery      = 10 * time.Minute
	DefaultSilentAfter    = 3 * time.Second
	DefaultDialTimeout    = time.Second
	DefaultConfigLag      = time.Second
	DefaultListEvery      = 2 * time.Second
	DefaultBytesPerSecond = 2000
)

// minToken is the least length of the shared secret in bytes.
const minToken = 8

func (o *Options) fill() {
	setDefault(&o.Interval, DefaultInterval)
	setDefault(&o.Heartbeat, DefaultHeartbeat)
	setDefault(&o.ExactEvery, DefaultExactEvery)
	setDefault(&o.FullEvery, DefaultFullEvery)
	setDefault(&o.SilentAfter, DefaultSilentAfter)
	setDefault(&o.DialTimeout, DefaultDialTimeout)
	setDefault(&o.ConfigLag, DefaultConfigLag)
	setDefault(&o.ListEvery, DefaultListEvery)
	setDefault(&o.BytesPerSecond, DefaultBytesPerSecond)
	if o.Dial == nil {
		dialer := &net.Dialer{KeepAlive: -1} // digests find dead connections sooner
		o.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
	if o.OnLeavingUpstream == nil {
		o.OnLeavingUpstream = func(ident.Upstream) {}
	}
}

func setDefault[N ~int | ~int64](value *N, standard N) {
	if *value <= 0 {
		*value = standard
	}
}

func (o *Options) check() error {
	var faults []error
	if o.Self == "" {
		faults = append(faults, errors.New("peer: no VM name"))
	}
	if len(o.Token) < minToken {
		faults = append(faults, fmt.Errorf("peer: a token of %d bytes, %d are the least", len(o.Token), minToken))
	}
	if o.Digests == nil || o.Copies == nil || o.Config == nil {
		faults = append(faults, errors.New("peer: no digest source, placer of copies or configuration"))
	}
	return errors.Join(faults...)
}
