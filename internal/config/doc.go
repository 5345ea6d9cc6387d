// Package config defines the settings tree and the deterministic state machine
// that builds it from the records of the platform's log.
//
// The log's order resolves conflicts: each Change names the version of the branch
// that it is based on. The first valid change on a version is accepted and every
// other one on that version is rejected, so all daemons that have read the same
// records hold the same State.
//
// The package uses no clock, I/O or goroutines, and no result depends on map
// iteration order. A State is immutable and safe for concurrent use.
package config
