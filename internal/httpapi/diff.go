package httpapi

import (
	"errors"
	"net/http"

	"github.com/google/uuid"

	"github.com/dogwoodflow/dogwoodflow/internal/config"
	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// DiffView is the answer to POST /v1/config/diff: what a change would do to the
// branch in force, each operation as deep in the tree as it goes.
type DiffView struct {
	Branch        config.Branch `json:"branch"`
	BranchVersion ident.Offset  `json:"branch_version"` // what the change was compared with
	Ops           []config.Op   `json:"ops"`
}

// diff takes the body of a change, judges it on the newest version, whatever its
// base, and publishes nothing.
func (a *API) diff(w http.ResponseWriter, r *http.Request) {
	req, problem := readChange(w, r)
	if problem != nil {
		problem.write(w)
		return
	}
	view, err := diffOf(a.queries.State(), req)
	if err != nil {
		refuse(http.StatusUnprocessableEntity, faultText(err)).write(w)
		return
	}
	writeJSON(w, http.StatusOK, view)
}

// diffOf folds the change into the state as if it were the log's next record.
func diffOf(state *config.State, req ChangeRequest) (DiffView, error) {
	view := DiffView{Branch: req.Branch, BranchVersion: state.BranchVersion(req.Branch)}
	change := config.Change{ID: uuid.NewString(), Branch: req.Branch, Base: view.BranchVersion, Ops: req.Ops}
	if err := state.Check(change); err != nil {
		return view, err
	}
	record, err := config.EncodeRecord(config.Record{Change: &change})
	if err != nil {
		return view, err
	}
	next, _ := state.Apply(state.AppliedOffset()+1, record)
	view.Ops = config.Diff(state.Tree(), next.Tree(), req.Branch)
	if view.Ops == nil {
		view.Ops = []config.Op{}
	}
	return view, nil
}

// faultText names the path in the tree and what is allowed there.
func faultText(err error) string {
	if fault := (*config.Error)(nil); errors.As(err, &fault) {
		return fault.Path + ": " + fault.Detail()
	}
	return err.Error()
}
