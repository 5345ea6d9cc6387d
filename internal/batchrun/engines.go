// Package batchrun runs trainers' batches: it takes them in, keeps them in the
// shared log, and, for the partitions that this daemon owns, runs their samples on
// engines and orders the engines to load new weights. The decisions are those of
// packages batch and loads.
package batchrun

import (
	"context"
	"errors"

	"github.com/dogwoodflow/dogwoodflow/internal/batch"
	"github.com/dogwoodflow/dogwoodflow/internal/registry"
)

// SampleRun asks an engine to run a sample, or to go on with it.
type SampleRun struct {
	ID       string
	Host     string
	Customer string // that the sample's batch belongs to, "" for none
	batch.Request
	// After is how many events of the text are had already.
	After int
}

// Errors of a run that didn't reach its end. Any other error means that the
// engine or the way to it broke off.
var (
	// ErrRefused: the engine didn't run the sample: full, loading, or gone.
	ErrRefused = errors.New("batchrun: engine refused the sample")
	// ErrIdleBroke: the connection had been idle and broke before the engine answered.
	ErrIdleBroke = errors.New("batchrun: idle connection broke")
	// ErrReplaced: another incarnation has the address.
	ErrReplaced = errors.New("batchrun: another upstream has the address")
	// ErrFailed: the engine failed the sample; it may succeed elsewhere.
	ErrFailed = errors.New("batchrun: engine failed the sample")
	// ErrImpossible: the sample can never be done.
	ErrImpossible = errors.New("batchrun: sample can't be done")
	// ErrDown: nothing listens at the engine's address, its process has ended.
	ErrDown = errors.New("batchrun: engine is down")
	// ErrSilent: the engine sent nothing for too long.
	ErrSilent = errors.New("batchrun: engine fell silent")
)

// Report is an engine's own account, some hundred ms old.
type Report struct {
	Started  int64 // of its process in Unix ms, 0: it doesn't say
	Orders   int64 // accepted since its start; the next order is made conditional on it
	Busy     bool  // an order is under way
	Running  int
	Versions map[string]int64 // weights by model
}

// LoadOrder asks an engine for new weights.
type LoadOrder struct {
	Model   string
	Version int64
	Holder  string // this VM
	Fence   int64  // fencing number
	Orders  int64  // the order counts only if the engine has accepted so many
	// Retain: the engine's runs go on meanwhile, under the new version once it is there.
	// Without it they end first, and new ones wait.
	Retain bool
}

// LoadOutcome is an engine's answer to an order.
type LoadOutcome int

// The answers.
const (
	LoadUnknown  LoadOutcome = iota // no answer: it may be carried out, also later
	LoadAccepted                    // under way
	LoadHeld                        // the version is served already
	LoadConflict                    // another order is under way, or was accepted meanwhile
	LoadFenced                      // a higher fencing number was seen
	LoadRejected                    // the order makes no sense to the engine, or it is another one
)

// Engines is the protocol of model engines.
type Engines interface {
	// Run runs a sample to its end. emit gets each event once, in order.
	Run(ctx context.Context, u registry.Upstream, r SampleRun, emit func(batch.Event)) error
	// Report asks an engine for its state.
	Report(ctx context.Context, u registry.Upstream) (Report, error)
	// Load orders new weights.
	Load(ctx context.Context, u registry.Upstream, o LoadOrder) (LoadOutcome, error)
}
