package command

import (
	"context"
	"errors"

	"github.com/dogwoodflow/dogwoodflow/internal/config"
	"github.com/dogwoodflow/dogwoodflow/internal/confsync"
	"github.com/dogwoodflow/dogwoodflow/internal/outcome"
)

// Restore starts the configuration anew. A Conflict *Error says that this daemon
// has one, or that another restore came first; nothing has changed then.
func (c *Commands) Restore(ctx context.Context, r config.Restore) (config.Verdict, error) {
	verdict, err := c.config.Restore(ctx, r)
	if errors.Is(err, confsync.ErrNothingToRestore) {
		version := c.config.Current().Version()
		return verdict, &Error{
			Kind: Conflict, Outcome: outcome.NotRun, Err: err,
			Detail: confsync.ErrNothingToRestore.Error() + " (version " + version.String() + " is in force)",
		}
	}
	if err != nil {
		return verdict, turnPublish(err)
	}
	if !verdict.Accepted {
		return verdict, &Error{Kind: Conflict, Outcome: outcome.NotRun, Detail: rejection(verdict)}
	}
	return verdict, nil
}
