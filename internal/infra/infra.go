// Package infra defines the interfaces to the services that dogwoodflow's own deployments
// depend on: a replicated log, a weight store and a list of VMs, together called the platform.
// It also has the adapters for their HTTP APIs. Daemons on the users' own platform use package
// store instead.
package infra

import (
	"context"
	"errors"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// Streams of the log.
const (
	StreamConfig = "config" // changes and snapshots of the configuration
	StreamClaims = "claims" // idempotency keys
)

// LeaseStream returns the stream with the leases on the engines of a data centre. The daemon
// that holds the lease on an engine may give it orders.
func LeaseStream(dc ident.DataCentre) string { return "leases-" + string(dc) }

var (
	// ErrUnavailable means that the call had no effect: the platform refused it or couldn't be
	// reached.
	ErrUnavailable = errors.New("infra: unavailable")
	// ErrUnknown means that the call may or may not have taken effect.
	ErrUnknown = errors.New("infra: response lost, outcome unknown")
	// ErrExpired means that the requested offset is past the retention. Page.First is set.
	ErrExpired = errors.New("infra: offset past retention")
)

// Record is one record of a stream.
type Record struct {
	Offset ident.Offset
	Time   time.Time // of the append, on the log's wall clock
	Data   []byte
}

// Page is the result of a read.
type Page struct {
	First   ident.Offset // oldest offset that is kept
	Next    ident.Offset // offset of the next append
	Records []Record     // consecutive, from the requested offset on
}

// Log is the platform's append-only log.
type Log interface {
	// Append appends the records, all or none, and returns the offset of the first.
	// Errors: ErrUnavailable, ErrUnknown.
	Append(ctx context.Context, stream string, records [][]byte) (ident.Offset, error)
	// Read returns at most limit records from an offset on. If there is none, it waits for
	// one, but no longer than wait. Errors: ErrUnavailable, ErrExpired (Page.First is set).
	Read(ctx context.Context, stream string, from ident.Offset, limit int, wait time.Duration) (Page, error)
}

// WeightStore is the platform's store of model weights.
type WeightStore interface {
	// Versions returns the versions of a model in ascending order. Error: ErrUnavailable.
	Versions(ctx context.Context, model ident.Model) ([]ident.Version, error)
}

// VMEntry is one VM in the platform's list.
type VMEntry struct {
	Name        ident.VM // of an upstream's VM: the upstream's name in the configuration
	Entry       bool     // the VM runs a dogwoodflow daemon, not an upstream
	DataCentre  ident.DataCentre
	PeerAddress string // of a daemon, for calls by other daemons
	Leaving     bool   // the VM will be removed
}

// VMLister is the platform's list of VMs.
type VMLister interface {
	// List returns all VMs. The list lags behind the state of the VMs. Error: ErrUnavailable.
	List(ctx context.Context) ([]VMEntry, error)
}
