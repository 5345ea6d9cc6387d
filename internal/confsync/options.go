package confsync

import (
	"math/rand/v2"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/config"
)

// Defaults of Options.
const (
	// DefaultReadWait is how long the log holds a read back for a record.
	DefaultReadWait = 3 * time.Second
	// DefaultReadGrace is what a read may take beyond its wait. An open
	// connection that has gone silent is given up after the two together.
	DefaultReadGrace = 1500 * time.Millisecond
	// DefaultAppendTimeout bounds one append.
	DefaultAppendTimeout = 3 * time.Second
	// DefaultReappendAfter is how long a change whose append's answer was lost
	// must be absent from a log that can be read before it is appended again.
	DefaultReappendAfter = 5 * time.Second
	// DefaultRetryAfter is what operators are told while the log is down.
	DefaultRetryAfter = 5 * time.Second
	// DefaultBackoffBase and DefaultBackoffMax bound the pause after a failed read.
	DefaultBackoffBase = 100 * time.Millisecond
	DefaultBackoffMax  = 2 * time.Second
	// DefaultSnapshotJitter spreads the appends of daemons that both think they
	// are the one to write.
	DefaultSnapshotJitter = 10 * time.Second
	// DefaultRestoreGrace is what a restore waits, beyond the jitter, for the
	// snapshot of a daemon that still holds the configuration.
	DefaultRestoreGrace = 5 * time.Second

	pageLimit = 256 // records a read
)

// Options of a Store. Zero values take the defaults.
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

	// StartSpread spreads the first reads of daemons that start together over a
	// time; 0 reads at once.
	StartSpread time.Duration

	// Retention is how long the log keeps the stream. The zero value, without
	// bound, writes no snapshots.
	Retention config.Retention
	// IsSnapshotWriter says whether this daemon is the one to append snapshots.
	// Two that do are harmless; nil means never.
	IsSnapshotWriter func() bool
	// Now is the wall clock; nil takes time.Now.
	Now func() time.Time
	// Random returns a number from 0 to 1 for jitter; nil takes math/rand.
	Random func() float64
}

func (o Options) withDefaults() Options {
	defaults := []struct {
		value *time.Duration
		to    time.Duration
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
			*d.value = d.to
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
