// Package ident defines the identifier types that other packages share.
package ident

import "strconv"

type (
	// Team is the name of a customer of the service, and of its branch of the settings tree.
	Team string
	// VM is the name of a VM on which a daemon or an upstream runs.
	VM string
	// DataCentre is the name of the data centre of a VM.
	DataCentre string
	// Upstream is the name of a model engine, a plain service or a scorer.
	Upstream string
	// Model is the name of a model. Each set of its weights has a Version.
	Model string
	// Job is the name of a rollout job, unique within its team.
	Job string
	// RequestID identifies one request of a caller, or one attempt at a sample.
	RequestID string
)

// Version is a version of a model's weights. A larger one is newer, 0 means none.
type Version int64

// Offset is the position of a record in a stream of the platform's log. The first record has
// offset 1, so 0 means that nothing was read yet.
type Offset int64

// Step is the number of a training step within its job.
type Step int64

// String returns the version in decimal.
func (v Version) String() string { return strconv.FormatInt(int64(v), 10) }

// String returns the offset in decimal.
func (o Offset) String() string { return strconv.FormatInt(int64(o), 10) }
