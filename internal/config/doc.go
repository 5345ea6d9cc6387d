// Package config is the tree of settings and its fold over the platform's log.
//
// The log's order decides: each Change names the version of the branch that it
// was made on, the fold accepts the first change on a version and rejects every
// other one, and all daemons that read the same records hold the same State.
//
// The package is pure. It has no clock, no I/O and no goroutine, and no result
// depends on the order of a map. A State never changes once it is returned; it
// may be read from any number of goroutines.
package config
