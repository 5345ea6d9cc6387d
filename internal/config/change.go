package config

import (
	"fmt"
	"regexp"
)

const (
	maxOps         = 1000
	maxOpPathBytes = 512
	maxAuthorBytes = 64
)

var changeIDPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// validate checks the parts of a change that don't depend on the tree.
func (c Change) validate() *Error {
	if !changeIDPattern.MatchString(c.ID) {
		return newValueError("change/id", c.ID, "must be 1 to 64 letters, digits, dots, dashes or underscores")
	}
	if err := c.Branch.validate(); err != nil {
		return err
	}
	if c.Base < 0 {
		return newValueError("change/base", c.Base, "must be 0 or more")
	}
	if len(c.Author) > maxAuthorBytes {
		return newValueError("change/author", c.Author, fmt.Sprintf("must have at most %d bytes", maxAuthorBytes))
	}
	if len(c.Ops) == 0 || len(c.Ops) > maxOps {
		return newValueError("change/ops", len(c.Ops), fmt.Sprintf("must be 1 to %d operations", maxOps))
	}
	for _, op := range c.Ops {
		if err := op.validate(c.Branch); err != nil {
			return err
		}
	}
	return nil
}

func (op Op) validate(branch Branch) *Error {
	if len(op.Path) > maxOpPathBytes {
		return newValueError(string(branch), op.Path, fmt.Sprintf("path must have at most %d bytes", maxOpPathBytes))
	}
	if op.Delete == (len(op.Value) > 0) {
		return newError(joinPath(string(branch), op.Path), "must have either a value or delete")
	}
	return nil
}

// paths returns the first maxHistoryPaths paths that the change modifies.
func (c Change) paths() []string {
	paths := make([]string, 0, maxHistoryPaths)
	for _, op := range c.Ops[:min(len(c.Ops), maxHistoryPaths)] {
		paths = append(paths, truncate(op.Path, maxVerdictPath))
	}
	return paths
}
