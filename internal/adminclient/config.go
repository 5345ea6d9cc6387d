package adminclient

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"github.com/dogwoodflow/dogwoodflow/internal/config"
	"github.com/dogwoodflow/dogwoodflow/internal/httpapi"
	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// Config returns the branch in force, or the whole tree if branch is empty.
func (c *Client) Config(ctx context.Context, branch config.Branch) (httpapi.ConfigView, error) {
	var view httpapi.ConfigView
	err := c.Call(ctx, http.MethodGet, "/v1/config?branch="+url.QueryEscape(string(branch)), nil, &view)
	return view, err
}

// Watch returns the branch in force once the configuration's version is above after. If the
// daemon's time limit passes first, it returns the branch unchanged.
func (c *Client) Watch(ctx context.Context, branch config.Branch, after ident.Offset) (httpapi.ConfigView, error) {
	q := url.Values{"branch": {string(branch)}, "after": {strconv.FormatInt(int64(after), 10)}}
	var view httpapi.ConfigView
	err := c.Call(ctx, http.MethodGet, "/v1/config/watch?"+q.Encode(), nil, &view)
	return view, err
}

// Publish publishes a change and returns the verdict once the change is in force.
func (c *Client) Publish(ctx context.Context, change httpapi.ChangeRequest) (config.Verdict, error) {
	var verdict config.Verdict
	err := c.Call(ctx, http.MethodPost, "/v1/config/changes", change, &verdict)
	return verdict, err
}

// Restore replaces a lost configuration with a whole tree, and returns the verdict once the tree
// is in force.
func (c *Client) Restore(ctx context.Context, r httpapi.RestoreRequest) (config.Verdict, error) {
	var verdict config.Verdict
	err := c.Call(ctx, http.MethodPost, "/v1/config/restore", r, &verdict)
	return verdict, err
}

// Diff returns what the operations would change in the branch in force. It changes nothing.
func (c *Client) Diff(ctx context.Context, branch config.Branch, ops []config.Op) (httpapi.DiffView, error) {
	var view httpapi.DiffView
	err := c.Call(ctx, http.MethodPost, "/v1/config/diff", httpapi.ChangeRequest{Branch: branch, Ops: ops}, &view)
	return view, err
}

// History returns the newest accepted changes of a branch, at most limit.
func (c *Client) History(ctx context.Context, branch config.Branch, limit int) ([]config.HistoryEntry, error) {
	q := url.Values{"branch": {string(branch)}, "limit": {strconv.Itoa(limit)}}
	var entries []config.HistoryEntry
	err := c.Call(ctx, http.MethodGet, "/v1/config/history?"+q.Encode(), nil, &entries)
	return entries, err
}
