package httpapi

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/dogwoodflow/dogwoodflow/internal/command"
	"github.com/dogwoodflow/dogwoodflow/internal/outcome"
	"github.com/dogwoodflow/dogwoodflow/internal/wire"
)

// notForwarded are a caller's headers that must not reach a service: the key is
// this system's secret, the others belong to one connection.
var notForwarded = []string{
	"Authorization", "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length", headerRequestID,
}

// notReturned are a service's headers that belong to its own connection.
var notReturned = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Trailer", "Transfer-Encoding",
	"Upgrade", "Content-Length", wire.HeaderLeaving, wire.HeaderNotRun, headerRequestID,
}

// service serves every path that is no endpoint of ours: the team's routes.
func (a *API) service(w http.ResponseWriter, r *http.Request) {
	id := command.NewRequestID()
	w.Header().Set(headerRequestID, string(id))
	team := principalOf(r).team
	key, problem := checkService(r)
	if problem != nil {
		problem.write(w)
		return
	}
	body, problem := readBody(w, r, a.maxBody(team))
	if problem != nil {
		problem.write(w)
		return
	}
	answer, err := a.commands.CallService(r.Context(), command.ServiceCall{
		ID: id, Team: team, Method: r.Method, Path: r.URL.EscapedPath(), Query: r.URL.RawQuery,
		Header: without(r.Header, notForwarded), Body: body,
		IdempotencyKey: key,
	})
	if err != nil {
		problemOf(err).write(w)
		return
	}
	writeAnswer(w, r.Method, answer)
}

// checkService refuses what must not reach a service and returns the
// idempotency key.
func checkService(r *http.Request) (key string, problem *Problem) {
	if r.Method == http.MethodConnect || r.Method == http.MethodTrace {
		return "", refusal(http.StatusMethodNotAllowed, r.Method+" isn't served")
	}
	if fault := servicePathFault(r); fault != "" {
		return "", refusal(http.StatusBadRequest, fault)
	}
	keys := r.Header.Values(headerIdempotencyKey)
	if len(keys) == 0 {
		return "", nil
	}
	// An empty key would run unprotected, though its caller counts on it.
	if len(keys) > 1 || keys[0] == "" {
		return "", refusal(http.StatusBadRequest, headerIdempotencyKey+" must stand once and not be empty")
	}
	return keys[0], nil
}

// firstFinalStatus is the first status of a final answer; below are interim ones.
const firstFinalStatus = 200

func writeAnswer(w http.ResponseWriter, method string, answer command.ServiceAnswer) {
	if answer.Status < firstFinalStatus {
		p := refuse(http.StatusBadGateway, "the service answered without a final status")
		p.Outcome = outcome.Ran
		p.write(w)
		return
	}
	header := w.Header()
	for name, values := range without(answer.Header, notReturned) {
		header[name] = values
	}
	setLength(header, method, answer)
	if answer.Replayed {
		header.Set(headerReplayed, "true")
	}
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}

// setLength keeps the service's own length where the answer has no body: to
// HEAD it is that of the body which GET would bring.
func setLength(h http.Header, method string, answer command.ServiceAnswer) {
	noBody := answer.Status == http.StatusNoContent || answer.Status == http.StatusNotModified
	if method != http.MethodHead && !noBody {
		h.Set("Content-Length", strconv.Itoa(len(answer.Body)))
		return
	}
	if length := answer.Header.Get("Content-Length"); length != "" && !noBody {
		h.Set("Content-Length", length)
	}
}

// without leaves out the headers named, and those that Connection names as
// belonging to one connection.
func without(h http.Header, names []string) http.Header {
	out := h.Clone()
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range names {
		out.Del(name)
	}
	return out
}
