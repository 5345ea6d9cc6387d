package httpapi

import (
	"net/http"
	"strconv"

	"github.com/dogwoodflow/dogwoodflow/internal/command"
)

// notForwarded are a caller's headers that must not reach a service: the key is
// this system's secret, the others belong to one connection.
var notForwarded = []string{
	"Authorization", "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", headerRequestID,
}

// notReturned are a service's headers that belong to its own connection.
var notReturned = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Trailer", "Transfer-Encoding",
	"Upgrade", "Content-Length", "X-Leaving", headerRequestID,
}

// service serves every path that is no endpoint of ours: the team's routes.
func (a *API) service(w http.ResponseWriter, r *http.Request) {
	id := command.NewRequestID()
	w.Header().Set(headerRequestID, string(id))
	team := principalOf(r).team
	body, problem := readBody(w, r, a.maxBody(team))
	if problem != nil {
		problem.write(w)
		return
	}
	answer, err := a.commands.CallService(r.Context(), command.ServiceCall{
		ID: id, Team: team, Method: r.Method, Path: r.URL.EscapedPath(), Query: r.URL.RawQuery,
		Header: without(r.Header, notForwarded), Body: body,
		IdempotencyKey: r.Header.Get(headerIdempotencyKey),
	})
	if err != nil {
		problemOf(err).write(w)
		return
	}
	writeAnswer(w, answer)
}

func writeAnswer(w http.ResponseWriter, answer command.ServiceAnswer) {
	header := w.Header()
	for name, values := range without(answer.Header, notReturned) {
		header[name] = values
	}
	header.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	if answer.Replayed {
		header.Set(headerReplayed, "true")
	}
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}

func without(h http.Header, names []string) http.Header {
	out := h.Clone()
	for _, name := range names {
		out.Del(name)
	}
	return out
}
