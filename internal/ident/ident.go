// Package ident holds the typed identifiers that every other package shares.
package ident

import "strconv"

type (
	// Team is a customer of the service and the name of its branch of settings.
	Team string
	// VM names one of ours or one that an upstream runs on.
	VM string
	// DataCentre names where a VM stands.
	DataCentre string
	// Upstream names a model engine, a plain service or a scorer.
	Upstream string
	// Model names a family of weights; its versions are Version.
	Model string
	// Job names a rollout job, unique within its team.
	Job string
	// RequestID names one request of a caller, or one attempt at a sample.
	RequestID string
)

// Version is a weight version. Larger is newer, 0 is "none".
type Version int64

// Offset is a record's position in a stream of the platform's log. The first
// record has offset 1, so 0 is "nothing read yet".
type Offset int64

// Step numbers a training step within its job.
type Step int64

// String returns the decimal form.
func (v Version) String() string { return strconv.FormatInt(int64(v), 10) }

// String returns the decimal form.
func (o Offset) String() string { return strconv.FormatInt(int64(o), 10) }
