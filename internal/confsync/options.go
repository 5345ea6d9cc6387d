package confsync

import (
	"math/rand/v2"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/config"
)

// Defaults of Options.
const (
	// DefaultReadWait is how long the log waits for a record before it answers a read
	// (long polling).
	DefaultReadWait = 3 * time.Second
	// DefaultReadGrace is how long a read may take in addition to the wait. A
	// connection that has stopped responding is abandoned after the sum of both.
	DefaultReadGrace = 1500 * time.Millisecond
	// DefaultAppendTimeout is the timeout of one append.
	DefaultAppendTimeout = 3 * time.Second
	// DefaultReappendAfter is how long a change must be absent from a readable log
	// before it is appended again, after the response to its append was lost.
	DefaultReappendAfter = 5 * time.Second
	// DefaultRetryAfter is the retry delay that operators are told while the log is
	// down.
	DefaultRetryAfter = 5 * time.Second
	// DefaultBackoffBase and DefaultBackoffMax are the bounds of the pause after a
	// failed read.
	DefaultBackoffBase = 100 * time.Millisecond
	DefaultBackoffMax  = 2 * time.Second
	// DefaultSnapshotJitter is the largest random delay of a snapshot, for several
	// daemons that consider themselves the writer.
	DefaultSnapshotJitter = 10 * time.Second
	// DefaultRestoreGrace is how long, in addition to the snapshot jitter, a restore
	// waits for the snapshot of a daemon that still has the configuration.
	DefaultRestoreGrace = 5 * time.Second

	maxPageRecords = 256 // records per read
)

// Options configures a Store. Zero durations are replaced by the defaults.
type Options struct {
	ReadWait       time.Duration
	ReadGrace      time.Duration
	AppendTimeout  time.Duration
	ReappendAfter  time.Duration
	RetryAfter     time.Duration
	BackoffBase    time.Duration
	BackoffMax     time.Duration
	SnapshotJitter time.Duration
	RestoreGrace   time.Duration

	// StartJitter is the largest random delay of the first read, for daemons that
	// start at the same time; 0 is no delay.
	StartJitter time.Duration

	// Retention is how long the log keeps records. With the zero value, unlimited,
	// snapshots are only written on request.
	Retention config.Retention
	// IsSnapshotWriter reports whether this daemon is the one to append snapshots.
	// Several writers are harmless; nil is never.
	IsSnapshotWriter func() bool
	// Now is the wall clock; nil is time.Now.
	Now func() time.Time
	// Random returns a random number in [0, 1) for jitter; nil is rand.Float64.
	Random func() float64
}

func (o Options) withDefaults() Options {
	defaults := []struct {
		value        *time.Duration
		defaultValue time.Duration
	}{
		{&o.ReadWait, DefaultReadWait},
		{&o.ReadGrace, DefaultReadGrace},
		{&o.AppendTimeout, DefaultAppendTimeout},
		{&o.ReappendAfter, DefaultReappendAfter},
		{&o.RetryAfter, DefaultRetryAfter},
		{&o.BackoffBase, DefaultBackoffBase},
		{&o.BackoffMax, DefaultBackoffMax},
		{&o.SnapshotJitter, DefaultSnapshotJitter},
		{&o.RestoreGrace, DefaultRestoreGrace},
	}
	for _, d := range defaults {
		if *d.value == 0 {
			*d.value = d.defaultValue
		}
	}
	if o.IsSnapshotWriter == nil {
		o.IsSnapshotWriter = func() bool { return false }
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Random == nil {
		o.Random = rand.Float64
	}
	return o
}
