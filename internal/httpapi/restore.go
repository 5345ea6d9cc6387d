package httpapi

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/dogwoodflow/dogwoodflow/internal/config"
	"github.com/dogwoodflow/dogwoodflow/internal/outcome"
)

// maxRestoreBody bounds a whole tree with what stands around it.
const maxRestoreBody = 4 << 20

// RestoreRequest is the body of POST /v1/config/restore.
type RestoreRequest struct {
	ID     string          `json:"id,omitempty"`
	Tree   json.RawMessage `json:"tree"` // whole, as GET /v1/config shows it
	Author string          `json:"author,omitempty"`
}

func (a *API) restore(w http.ResponseWriter, r *http.Request) {
	var req RestoreRequest
	if problem := readJSON(w, r, maxRestoreBody, &req); problem != nil {
		problem.write(w)
		return
	}
	tree, err := config.ParseTreeFile(req.Tree)
	if err != nil {
		refuse(http.StatusUnprocessableEntity, err.Error()).write(w)
		return
	}
	if req.ID == "" {
		req.ID = uuid.NewString()
	}
	verdict, err := a.commands.Restore(r.Context(), config.Restore{ID: req.ID, Tree: tree, Author: req.Author, At: time.Now().UTC()})
	if err != nil {
		problem := problemOf(err)
		if problem.Outcome == outcome.Unknown {
			problem.Detail += "; restoring again is safe"
		}
		problem.write(w)
		return
	}
	writeJSON(w, http.StatusOK, verdict)
}
