// Package confsync keeps a daemon's configuration up to date: it follows the
// platform's log, accepts newer states from peers, publishes changes and appends
// snapshots before the log's records expire.
//
// Package config makes the decisions. This package does the I/O and provides the
// timers and the lock; a Store is safe for concurrent use.
package confsync
