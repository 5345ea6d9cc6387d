package main

import (
	"bytes"
	"context"
	"encoding/json"
	"encoding/pem"
	"fmt"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/config"
	"github.com/dogwoodflow/dogwoodflow/internal/dispatch"
	"github.com/dogwoodflow/dogwoodflow/internal/httpapi"
	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/outcome"
	"github.com/dogwoodflow/dogwoodflow/internal/peer"
	"github.com/dogwoodflow/dogwoodflow/internal/rollout"
	"github.com/dogwoodflow/dogwoodflow/internal/rollouts"
	"github.com/dogwoodflow/dogwoodflow/internal/timeline"

	"github.com/dogwoodflow/dogwoodflow/internal/golden"
)

// fakeDaemon serves the administration and trainer APIs from canned answers by "METHOD path". Of
// several answers to one request each is given once, in order, and the last one from then on. An
// error as the answer closes the connection.
type fakeDaemon struct {
	answers  map[string][]any
	requests []string // method, path and body of each request received
}

func (d *fakeDaemon) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	name := r.Method + " " + r.URL.RequestURI()
	var body bytes.Buffer
	_, _ = body.ReadFrom(r.Body)
	d.requests = append(d.requests, strings.TrimSpace(name+" "+body.String()))
	list := d.answers[name]
	if len(list) == 0 {
		writeJSON(w, http.StatusNotFound, httpapi.Problem{Title: "Not Found", Status: 404, Detail: "no endpoint " + name, Outcome: outcome.NotRun})
		return
	}
	if len(list) > 1 {
		d.answers[name] = list[1:]
	}
	switch answer := list[0].(type) {
	case httpapi.Problem:
		writeJSON(w, answer.Status, answer)
	case error:
		panic(http.ErrAbortHandler)
	default:
		writeJSON(w, http.StatusOK, answer)
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// teamView returns the branch of the team koperasi at a version.
func teamView(version ident.Offset) httpapi.ConfigView {
	return httpapi.ConfigView{Version: version, Branch: "teams/koperasi", BranchVersion: version, Team: &config.Team{
		Models: map[ident.Model]config.Model{"drafts": {Group: "engines", StalenessBound: 1, MaxTokens: 4096}},
		Jobs:   map[ident.Job]config.Job{"clerk": {Model: "drafts", Scorer: "scorers", GroupSize: 4, MaxTokens: 512}},
	}}
}

// stepStatus returns the status of step 3 with some groups held by the trainer and some ready.
func stepStatus(held, ready int) rollouts.StatusResponse {
	return rollouts.StatusResponse{Job: "clerk", Step: 3, Model: "drafts", Groups: 8, GroupSize: 4, Counts: rollout.Counts{
		Waiting: 8, Generating: 4, Scoring: 1, Ready: 4 * ready, HeldGroups: held, Deliverable: ready, Newest: 7,
		Tally: rollout.Tally{Attempts: 20, Failures: 1, Stale: 2},
	}}
}

var (
	eventTime             = time.Date(2026, 12, 2, 9, 30, 0, 0, time.UTC)
	stalenessBound        = int64(2)
	conflictProblem       = httpapi.Problem{Title: "Conflict", Status: 409, Detail: "teams/koperasi: made on version 4, but version 5 is newer", Outcome: outcome.NotRun}
	unknownOutcomeProblem = httpapi.Problem{Title: "Service Unavailable", Status: 503, Detail: "may still come into force", RetryAfter: 2}
	unknownStepProblem    = httpapi.Problem{Title: "Not Found", Status: 404, Detail: "step unknown, submit it again", Outcome: outcome.NotRun}
	clerkJob              = httpapi.JobView{Team: "koperasi", Name: "clerk", Job: config.Job{Model: "drafts", Scorer: "scorers", GroupSize: 4, MaxTokens: 512, StalenessBound: &stalenessBound}, Bound: 2, Version: 5}
	cancelledJob          = httpapi.JobView{Team: "koperasi", Name: "old", Job: config.Job{Model: "drafts", Scorer: "scorers", GroupSize: 2, MaxTokens: 64, Cancelled: true}, Bound: 1, Version: 5}
)

const (
	getTeam    = "GET /v1/config?branch=teams%2Fkoperasi"
	postChange = "POST /v1/config/changes"
	stepThree  = "/v1/teams/koperasi/jobs/clerk/steps/3"
)

func newFakeDaemon() *fakeDaemon {
	return &fakeDaemon{answers: map[string][]any{
		getTeam:                   {teamView(5)},
		postChange:                {config.Verdict{ChangeID: "c1", Accepted: true, Version: 6}},
		"POST /v1/config/restore": {config.Verdict{ChangeID: "c1", Accepted: true, Version: 12}},
		"POST /v1/config/diff": {httpapi.DiffView{Branch: "teams/koperasi", BranchVersion: 5, Ops: []config.Op{
			{Path: "jobs/old", Delete: true}, {Path: "limits/max_queue", Value: json.RawMessage("77")}}}},
		"GET /v1/config/history?branch=teams%2Fkoperasi&limit=20": {[]config.HistoryEntry{
			{Version: 5, Branch: "teams/koperasi", ChangeID: "c1", Author: "ayu", At: eventTime, Paths: []string{"limits/max_queue"}},
			{Version: 2, Branch: "teams/koperasi", ChangeID: "c0", At: eventTime, Paths: []string{""}}}},
		"GET /v1/config/watch?after=5&branch=teams%2Fkoperasi": {teamView(5), teamView(6)},
		"GET /v1/config/watch?after=6&branch=teams%2Fkoperasi": {teamView(8)},
		"GET /v1/whoami":                    {httpapi.Whoami{Team: "koperasi", Role: config.RoleOperator}},
		"GET /v1/teams/koperasi/jobs":       {httpapi.JobsView{Jobs: []httpapi.JobView{clerkJob, cancelledJob}}},
		"GET /v1/teams/koperasi/jobs/clerk": {clerkJob},
		"GET " + stepThree:                  {stepStatus(0, 0), stepStatus(0, 0), stepStatus(2, 3), unknownStepProblem},
		"GET /v1/teams/koperasi/steps": {httpapi.StepsView{Missing: []ident.VM{"entry-3"}, Steps: []peer.HeldStep{
			{VM: "entry-1", StatusResponse: stepStatus(2, 3)}, {VM: "entry-2", StatusResponse: stepStatus(0, 0)}}}},
		"GET /v1/teams/koperasi/steps?job=old": {httpapi.StepsView{Steps: []peer.HeldStep{}}},
		"DELETE " + stepThree:                  {nil},
		"PUT /v1/jobs/clerk/steps/3":           {rollouts.SubmitResponse{Job: "clerk", Step: 3, Groups: 2, GroupSize: 4, Created: true}},
		"GET /v1/upstreams": {httpapi.FleetView{Upstreams: []dispatch.Status{
			{Name: "engine-1", Group: "engines", DataCentre: "semarang", Address: "127.0.0.1:1", Health: "up", Weight: 1, InFlight: 3, Limit: 16, Serving: map[ident.Model]ident.Version{"drafts": 7, "aide": 2}},
			{Name: "scorer-1", Group: "scorers", DataCentre: "bandung", Address: "127.0.0.1:2", Health: "up", Leaving: true, Weight: .5}}}},
		"GET /v1/daemons": {httpapi.FleetView{Daemons: []peer.MemberStatus{
			{VM: "entry-1", DataCentre: "semarang", Address: "127.0.0.1:3", Self: true, Live: true, Config: peer.ConfigPoint{Through: 9, Version: 6}},
			{VM: "entry-2", DataCentre: "bandung", Address: "127.0.0.1:4", Reason: "silent"}}}},
		"GET /v1/timeline?limit=1000&sample=9%2F9": {httpapi.TimelineView{}},
		"GET /v1/timeline?job=clerk&limit=1000": {httpapi.TimelineView{Missing: []ident.VM{"entry-2"}, Events: []timeline.Event{
			{HLC: timeline.StampOf(eventTime), VM: "entry-1", Kind: "dispatched", Request: "r1", Team: "koperasi", Job: "clerk", Step: 3, Sample: "0/1", Upstream: "engine-1"},
			{HLC: timeline.StampOf(eventTime) + 1, VM: "entry-3", Kind: "generated", Team: "koperasi", Job: "clerk", Step: 3, Sample: "0/1", Version: 7, Detail: "40 tokens"}}}},
	}}
}

// runCtl runs a command line against a daemon. It returns standard output, standard error and the
// exit code as one text, and the exit code. URL stands for the daemon's URL in args and in the
// text.
func runCtl(d *fakeDaemon, args ...string) (shown string, code int) {
	server := httptest.NewServer(d)
	defer server.Close()
	for i, arg := range args {
		args[i] = strings.ReplaceAll(arg, "URL", server.URL)
	}
	var out, errs bytes.Buffer
	code = run(context.Background(), append([]string{"--url", server.URL}, args...), strings.NewReader("one\n\ntwo\n"), &out, &errs)
	shown = fmt.Sprintf("%s--- stderr\n%s--- exit %d\n", out.String(), errs.String(), code)
	return strings.ReplaceAll(shown, server.URL, "URL"), code
}

func expectGolden(name, got string) {
	GinkgoHelper()
	golden.Expect(name+".golden", got)
}

var _ = Describe("dogwoodflowctl", func() {
	BeforeEach(func() {
		GinkgoT().Setenv(adminTokenEnv, "admin-token-0123456789")
		GinkgoT().Setenv("USER", "ayu")
	})

	const branch = "--branch=teams/koperasi"
	DescribeTable("prints the expected output",
		func(name string, code int, args ...string) {
			shown, got := runCtl(newFakeDaemon(), args...)
			expectGolden(name, shown)
			Expect(got).To(Equal(code))
		},
		Entry(nil, "config-get", 0, "config", "get", branch),
		Entry(nil, "config-diff", 0, "config", "diff", branch, "--file=testdata/branch.yaml"),
		Entry(nil, "config-history", 0, "config", "history", branch),
		Entry(nil, "config-watch", 0, "config", "watch", branch, "--count=2"),
		Entry(nil, "config-set", 0, "config", "set", branch, "--base=latest", "--id=c1", "limits/max_queue", "77"),
		Entry(nil, "config-set-json", 0, "--json", "config", "set", branch, "--base=5", "--file=testdata/branch.yaml"),
		Entry(nil, "config-restore", 0, "config", "restore", "--file=testdata/tree.json"),
		Entry(nil, "config-restore-file", 1, "config", "restore", "--file=testdata/branch.yaml"),
		Entry(nil, "config-restore-usage", 2, "config", "restore"),
		Entry(nil, "config-unset", 0, "config", "unset", branch, "--base=5", "jobs/old"),
		Entry(nil, "config-set-usage", 2, "config", "set", branch, "limits/max_queue", "77"),
		Entry(nil, "job-create", 0, "job", "create", "--model=drafts", "--scorer=scorers", "--group-size=2", "new"),
		Entry(nil, "job-create-twice", 1, "job", "create", "--model=drafts", "--scorer=scorers", "--group-size=2", "clerk"),
		Entry(nil, "job-show", 0, "job", "show", "--team=koperasi", "clerk"),
		Entry(nil, "job-list", 0, "job", "list"),
		Entry(nil, "job-list-json", 0, "--json", "job", "list"),
		Entry(nil, "job-cancel", 0, "job", "cancel", "clerk"),
		Entry(nil, "step-submit", 0, "--trainer-url=URL", "step", "submit", "--file=-", "clerk", "3"),
		Entry(nil, "step-list", 0, "step", "list", "--team=koperasi"),
		Entry(nil, "step-list-none", 0, "step", "list", "--job=old"),
		Entry(nil, "step-show", 0, "step", "show", "clerk", "3"),
		Entry(nil, "step-watch", 0, "step", "watch", "--interval=1ns", "clerk", "3"),
		Entry(nil, "step-cancel", 0, "step", "cancel", "clerk", "3"),
		Entry(nil, "step-number", 2, "step", "show", "clerk", "three"),
		Entry(nil, "upstreams", 0, "upstreams"),
		Entry(nil, "daemons", 0, "daemons"),
		Entry(nil, "timeline", 0, "timeline", "--job=clerk"),
		Entry(nil, "timeline-empty", 0, "timeline", "--sample=9/9"),
		Entry(nil, "timeline-refused", 1, "timeline", "--team=other"),
		Entry(nil, "mistyped", 2, "config", "gte"),
		Entry(nil, "argument-too-many", 2, "daemons", "entry-1"),
	)

	// Two operators based changes on version 4, and the other one's change was accepted first.
	It("explains a conflict with a newer version, and exits with 1", func() {
		d := newFakeDaemon()
		d.answers[postChange] = []any{conflictProblem}
		shown, code := runCtl(d, "config", "set", branch, "--base=4", "--id=c1", "limits/max_queue", "77")
		expectGolden("lost-race", shown)
		Expect(code).To(Equal(exitFailed))
	})

	It("says how to repeat a change whose outcome is unknown, and exits with 3", func() {
		for _, answer := range []any{unknownOutcomeProblem, http.ErrAbortHandler} {
			d := newFakeDaemon()
			d.answers[postChange] = []any{answer}
			shown, code := runCtl(d, "config", "set", branch, "--base=5", "--id=c1", "limits/max_queue", "77")
			Expect(code).To(Equal(exitUnknown), shown)
			Expect(shown).To(ContainSubstring("--id c1 --base 5 is safe"))
		}
	})

	It("says that a restore whose outcome is unknown can be repeated safely", func() {
		d := newFakeDaemon()
		d.answers["POST /v1/config/restore"] = []any{http.ErrAbortHandler}
		shown, code := runCtl(d, "config", "restore", "--file=testdata/tree.json")
		Expect(code).To(Equal(exitUnknown), shown)
		Expect(shown).To(ContainSubstring("Repeating the command is safe"))
	})

	It("repeats the creation of a job that exists if the change's ID is given", func() {
		_, code := runCtl(newFakeDaemon(), "job", "create", "--id=c1", "--base=4", "--model=drafts", "--scorer=scorers", "--group-size=4", "clerk")
		Expect(code).To(Equal(exitOK))
	})

	It("creates a job with one operation based on the version that it read", func() {
		d := newFakeDaemon()
		_, _ = runCtl(d, "job", "create", "--id=c1", "--model=drafts", "--scorer=scorers", "--group-size=2", "new")
		Expect(d.requests).To(ContainElement(`POST /v1/config/changes {"id":"c1","branch":"teams/koperasi","base":5,"ops":[{"path":"jobs/new","value":` +
			`{"model":"drafts","scorer":"scorers","group_size":2,"max_tokens":4096}}],"author":"ayu"}`))
	})

	It("reports that nothing was changed if no daemon listens", func() {
		shown, code := runCtl(newFakeDaemon(), "--url=http://127.0.0.1:1", "config", "set", branch, "--base=5", "a", "1")
		Expect(code).To(Equal(exitFailed), shown)
	})

	It("never reports the outcome of a read as unknown", func() {
		d := newFakeDaemon()
		d.answers["GET /v1/daemons"] = []any{unknownOutcomeProblem}
		shown, code := runCtl(d, "daemons")
		Expect(code).To(Equal(exitFailed), shown)
	})

	It("trusts only the authorities in --ca-file", func() {
		server := httptest.NewUnstartedServer(newFakeDaemon())
		server.Config.ErrorLog = log.New(io.Discard, "", 0) // discards the error of the handshake that fails below
		server.StartTLS()
		defer server.Close()
		file := filepath.Join(GinkgoT().TempDir(), "ca.pem")
		Expect(os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: server.Certificate().Raw}), 0o600)).To(Succeed())
		_, code := runCtl(newFakeDaemon(), "--url", server.URL, "--ca-file", file, "daemons")
		Expect(code).To(Equal(exitOK))
		shown, code := runCtl(newFakeDaemon(), "--url", server.URL, "daemons")
		Expect(code).To(Equal(exitFailed))
		Expect(shown).To(ContainSubstring("certificate"))
	})

	It("never prints the token", func() {
		GinkgoT().Setenv(adminTokenEnv, "secret-of-the-administrator")
		for _, args := range [][]string{{"daemons"}, {"--help"}, {"timeline", "--team=other"}, {"--url=http://127.0.0.1:1", "daemons"}} {
			shown, _ := runCtl(newFakeDaemon(), args...)
			Expect(shown).NotTo(ContainSubstring("secret-of"))
		}
	})
})
