package batchrun

import (
	"fmt"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/metrics"
)

// ReadStage is a part of reading a page of results.
type ReadStage string

// The stages, in order.
const (
	StageSearch  ReadStage = "search"  // which daemon knows the batch
	StageListing ReadStage = "listing" // that daemon's list of the results
	StageTexts   ReadStage = "texts"   // reading the texts from the log
	StageMemory  ReadStage = "memory"  // room for the page
)

var (
	readTime    = metrics.Latency("results_read_ms") // beyond the wait that the reader asked for
	readsFailed = map[ReadStage]interface{ Add(int64) }{
		StageSearch:  metrics.Counter("results_failed_search"),
		StageListing: metrics.Counter("results_failed_listing"),
		StageTexts:   metrics.Counter("results_failed_texts"),
		StageMemory:  metrics.Counter("results_failed_memory"),
	}
)

// slowRead is the time of a read, beyond its wait, from which it is logged. Readers leave 1.5 s
// after the wait that they ask for.
const slowRead = 700 * time.Millisecond

// fetchStats counts what was read from the log for one call.
type fetchStats struct {
	reads     int // calls to the store
	readBytes int // that these returned
}

// ReadStats describes how a page of results was read.
type ReadStats struct {
	Stage     ReadStage     // that was reached
	Partition int           // of the batch, -1 until it is known
	Listing   time.Duration // time until the results were listed
	Texts     time.Duration // time until their texts were read
	Reads     int           // calls to the store for the texts
	ReadBytes int           // bytes that these returned
	UsedBytes int           // bytes of the page's texts
}

// ReadError says at which stage a page of results couldn't be read. Callers get the error that it
// wraps: ErrNotFound or ErrUnsure.
type ReadError struct {
	ReadStats
	Err error
}

// Error returns the stage and the cause.
func (e *ReadError) Error() string { return fmt.Sprintf("batchrun: %s: %v", e.Stage, e.Err) }

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Err }
