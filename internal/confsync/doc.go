// Package confsync keeps a daemon's configuration at the newest state: it
// follows the platform's log, takes newer states from peers, publishes changes
// and appends snapshots before the log's retention ends.
//
// The decisions are package config's. This package brings the I/O, the timers
// and the lock; a Store may be used from any number of goroutines.
package confsync
