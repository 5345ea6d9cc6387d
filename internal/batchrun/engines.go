// Package batchrun runs trainers' batches. It accepts them, stores them in the shared
// log and, for the partitions that this daemon owns, runs their samples on engines and
// orders the engines to load new weights. Packages batch and loads make the scheduling
// and loading decisions.
package batchrun

import (
	"context"
	"errors"

	"github.com/dogwoodflow/dogwoodflow/internal/batch"
	"github.com/dogwoodflow/dogwoodflow/internal/registry"
)

// SampleRun asks an engine to run a sample, or to resume it.
type SampleRun struct {
	ID       string // of the sample
	Host     string
	Customer string // that the sample's batch belongs to, "" for none
	batch.Request
	// ReceivedEvents is the number of the text's events that have been received already.
	ReceivedEvents int
	// NewConn asks for a new connection. A late copy of an engine's answer to an earlier run has
	// the same ID, so on a reused connection it would pass for the answer to this one.
	NewConn bool
}

// Errors of a run that didn't complete. Any other error means that the engine or the
// connection to it failed.
var (
	// ErrRefused means that the engine didn't run the sample: it is full, loading, or gone.
	ErrRefused = errors.New("batchrun: engine refused the sample")
	// ErrIdleConnection means that the connection had been idle and broke before the engine
	// answered.
	ErrIdleConnection = errors.New("batchrun: idle connection broke")
	// ErrAddressReused means that another upstream has the engine's address now.
	ErrAddressReused = errors.New("batchrun: another upstream has the address")
	// ErrFailed means that the engine failed the sample; it may succeed elsewhere.
	ErrFailed = errors.New("batchrun: engine failed the sample")
	// ErrPermanent means that no engine can ever complete the sample.
	ErrPermanent = errors.New("batchrun: sample can't be completed")
	// ErrDown means that nothing listens at the engine's address: its process has ended.
	ErrDown = errors.New("batchrun: engine is down")
	// ErrMalformed means that the engine's response, up to the point where that showed, isn't a
	// response to the sample's request. What it has delivered can't be relied on.
	ErrMalformed = errors.New("batchrun: malformed response of an engine")
	// ErrStalled means that the engine sent nothing for too long.
	ErrStalled = errors.New("batchrun: engine sent nothing for too long")
)

// Report is the state that an engine reports. It is some hundred ms old.
type Report struct {
	Started        int64            // start of its process in Unix ms, 0 if it doesn't report one
	AcceptedOrders int64            // load orders accepted since its start; the next order is conditional on it
	Busy           bool             // an order is in progress
	Running        int              // runs in progress
	Versions       map[string]int64 // weights version by model
}

// LoadOrder asks an engine to load a version of a model's weights.
type LoadOrder struct {
	Model          string
	Version        int64
	Holder         string // VM that holds the claim on the engine: this one
	FencingToken   int64  // fencing token
	ExpectedOrders int64  // the order takes effect only if the engine has accepted exactly so many
	// Retain lets the engine's runs continue during the load, with the new version once it
	// is loaded. Without it they finish first, and new ones wait.
	Retain bool
}

// LoadOutcome is an engine's answer to an order.
type LoadOutcome int

// The answers.
const (
	LoadUnknown       LoadOutcome = iota // no answer: the order may take effect, possibly later
	LoadAccepted                         // the load has begun
	LoadAlreadyServed                    // the version is served already
	LoadConflict                         // another order is in progress, or was accepted in the meantime
	LoadFenced                           // the engine has seen a higher fencing token
	LoadRejected                         // the order is malformed, or meant for another engine
)

// Engines is the protocol of model engines.
type Engines interface {
	// Run runs a sample until its text is complete. emit gets each event once, in order.
	Run(ctx context.Context, u registry.Upstream, r SampleRun, emit func(batch.Event)) error
	// Report returns an engine's state.
	Report(ctx context.Context, u registry.Upstream) (Report, error)
	// Load orders an engine to load new weights.
	Load(ctx context.Context, u registry.Upstream, o LoadOrder) (LoadOutcome, error)
}
