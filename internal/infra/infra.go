// Package infra is the narrow interface to what the product's own deployments build
// on: a replicated log, a weight store and a list of VMs. The HTTP adapters live
// beside it. Daemons on the users' platform use internal/store instead.
package infra

import (
	"context"
	"errors"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// Streams of the log that the system uses.
const (
	StreamConfig = "config" // changes and snapshots of the configuration
	StreamClaims = "claims" // idempotency keys
)

// LeaseStream returns the stream that says who may give orders to which engine of a
// data centre.
func LeaseStream(dc ident.DataCentre) string { return "leases-" + string(dc) }

var (
	// ErrUnavailable says that nothing happened: the platform refused or couldn't be reached.
	ErrUnavailable = errors.New("infra: unavailable")
	// ErrUnknown says that the call may or may not have taken effect.
	ErrUnknown = errors.New("infra: answer lost, outcome unknown")
	// ErrExpired says that the offset asked for is no longer kept; Page.First is set.
	ErrExpired = errors.New("infra: offset past retention")
)

// Record is one record of a stream.
type Record struct {
	Offset ident.Offset
	Time   time.Time // the log's wall clock
	Data   []byte
}

// Page is what one read returned.
type Page struct {
	First   ident.Offset // oldest offset still kept
	Next    ident.Offset // offset that the next append will get
	Records []Record
}

// Log is the platform's append-only log.
type Log interface {
	// Append adds records together; it returns the first one's offset.
	// Errors: ErrUnavailable, ErrUnknown.
	Append(ctx context.Context, stream string, records [][]byte) (ident.Offset, error)
	// Read returns up to limit records from an offset on, waiting up to wait for the
	// first. Errors: ErrUnavailable, ErrExpired (the page then has First).
	Read(ctx context.Context, stream string, from ident.Offset, limit int, wait time.Duration) (Page, error)
}

// WeightStore lists the versions of a model, ascending. Error: ErrUnavailable.
type WeightStore interface {
	Versions(ctx context.Context, model ident.Model) ([]ident.Version, error)
}

// VMEntry is one line of the platform's list.
type VMEntry struct {
	Name        ident.VM // for upstream VMs, the upstream's name in the configuration
	Entry       bool     // true: a daemon of ours; false: an upstream
	DataCentre  ident.DataCentre
	PeerAddress string // only for entry VMs
	Leaving     bool
}

// VMLister returns the lagging list of VMs. Error: ErrUnavailable.
type VMLister interface {
	List(ctx context.Context) ([]VMEntry, error)
}
