package httpapi_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/command"
	"github.com/dogwoodflow/dogwoodflow/internal/config"
	"github.com/dogwoodflow/dogwoodflow/internal/dispatch"
	"github.com/dogwoodflow/dogwoodflow/internal/httpapi"
	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/keyed"
	"github.com/dogwoodflow/dogwoodflow/internal/peer"
	"github.com/dogwoodflow/dogwoodflow/internal/query"
	"github.com/dogwoodflow/dogwoodflow/internal/rollouts"
	"github.com/dogwoodflow/dogwoodflow/internal/timeline"
	"github.com/dogwoodflow/dogwoodflow/internal/upstream"
)

const adminToken = "admin-token-0123456789"

// world is an API over fakes of everything below the commands and queries.
// reached counts what got through the API.
type world struct {
	api     *httpapi.API
	state   *config.State
	reached atomic.Int64
	filter  timeline.Filter      // of the last timeline query
	call    dispatch.CallRequest // the last service call

	generate func(onChunk func(upstream.Chunk) error) (dispatch.Completion, error)
	answer   *upstream.ServiceResponse
	fail     error          // of service calls, steps and publishing
	verdict  config.Verdict // on a change; zero: accepted
}

func newWorld() *world {
	w := &world{state: configured(), answer: &upstream.ServiceResponse{Status: 200, Body: []byte("booked")}}
	w.generate = func(func(upstream.Chunk) error) (dispatch.Completion, error) {
		return dispatch.Completion{Text: "hello", Segments: []dispatch.Segment{{Version: 7, Tokens: 1}}}, nil
	}
	c := command.New(w, w, w, steps{w}, time.Minute)
	w.api = httpapi.New(c, query.New(w, steps{w}, w, w), adminToken)
	return w
}

// configured is a fleet with two teams, koperasi and other.
func configured() *config.State {
	state := config.Empty()
	state = fold(state, "fleet", `{"groups":{
		"engines":{"kind":"engine","upstreams":{"e1":{"address":"127.0.0.1:9","data_centre":"semarang"}}},
		"counter":{"kind":"service","upstreams":{"s1":{"address":"127.0.0.1:9","data_centre":"semarang"}}},
		"scorers":{"kind":"scorer","upstreams":{"x1":{"address":"127.0.0.1:9","data_centre":"semarang"}}}}}`)
	for _, team := range []string{"koperasi", "other"} {
		keys := map[string]config.Key{}
		for _, role := range []config.Role{config.RoleCaller, config.RoleTrainer, config.RoleOperator} {
			sum := sha256.Sum256([]byte(keyOf(team, role)))
			keys[string(role)] = config.Key{SHA256: hex.EncodeToString(sum[:]), Role: role}
		}
		shown, _ := json.Marshal(keys)
		state = fold(state, config.Branch("teams/"+team), `{"keys":`+string(shown)+`,
			"models":{"drafts":{"group":"engines","staleness_bound":1,"max_tokens":100}},
			"routes":{"booking":{"path":"/booking","methods":["GET","HEAD","POST"],"group":"counter"}},
			"jobs":{"clerk":{"model":"drafts","scorer":"scorers","group_size":4,"max_tokens":50}},
			"limits":{"max_body_bytes":1000}}`)
	}
	return state
}

func keyOf(team string, role config.Role) string { return team + "-" + string(role) + "-key" }

func fold(s *config.State, branch config.Branch, value string) *config.State {
	id := fmt.Sprintf("change-%d", s.AppliedOffset()+1)
	data, err := config.EncodeRecord(config.Record{Change: &config.Change{ID: id, Branch: branch, Ops: []config.Op{{Value: json.RawMessage(value)}}}})
	if err != nil {
		panic(err)
	}
	next, verdict := s.Apply(s.AppliedOffset()+1, data)
	if !verdict.Accepted {
		panic(verdict.Path + ": " + verdict.Reason)
	}
	return next
}

func (w *world) Generate(_ context.Context, _ dispatch.GenerateRequest, onChunk func(upstream.Chunk) error) (dispatch.Completion, error) {
	w.reached.Add(1)
	return w.generate(onChunk)
}

func (w *world) Call(_ context.Context, c dispatch.CallRequest) (*upstream.ServiceResponse, error) {
	w.reached.Add(1)
	w.call = c
	return w.answer, w.fail
}

func (w *world) Do(ctx context.Context, _, _ string, _ uint64, run keyed.RunFunc) (*upstream.ServiceResponse, bool, error) {
	w.reached.Add(1)
	res, err := run(ctx)
	return res, false, err
}

func (w *world) Current() *config.State { return w.state }

func (w *world) Changed() <-chan struct{} { return nil }

func (w *world) Publish(_ context.Context, c config.Change) (config.Verdict, error) {
	w.reached.Add(1)
	if w.verdict.ChangeID != "" {
		return w.verdict, w.fail
	}
	return config.Verdict{ChangeID: c.ID, Accepted: true, Version: 9}, w.fail
}

func (w *world) Restore(_ context.Context, r config.Restore) (config.Verdict, error) {
	w.reached.Add(1)
	if w.verdict.ChangeID != "" {
		return w.verdict, w.fail
	}
	return config.Verdict{ChangeID: r.ID, Accepted: true, Version: 9}, w.fail
}

func (w *world) Upstreams() []dispatch.Status { return nil }

func (w *world) Newest(ident.Model) ident.Version { return 0 }

func (w *world) Members() []peer.MemberStatus { return nil }

func (w *world) CollectTimeline(_ context.Context, f timeline.Filter) ([]timeline.Event, []ident.VM) {
	w.filter = f
	return nil, nil
}

func (w *world) CollectSteps(_ context.Context, team ident.Team) ([]peer.HeldStep, []ident.VM) {
	held := func(job ident.Job) peer.HeldStep {
		return peer.HeldStep{VM: "entry-1", StatusResponse: rollouts.StatusResponse{Team: team, Job: job, Step: 3}}
	}
	return []peer.HeldStep{held("clerk"), held("old")}, []ident.VM{"entry-2"}
}

// steps is the world's rollouts.
type steps struct{ w *world }

func (s steps) Submit(_ context.Context, _ ident.Team, job ident.Job, step ident.Step, _ rollouts.SubmitRequest) (rollouts.SubmitResponse, error) {
	s.w.reached.Add(1)
	return rollouts.SubmitResponse{Job: job, Step: step, Created: true}, s.w.fail
}

func (s steps) Cancel(context.Context, ident.Team, ident.Job, ident.Step) error {
	s.w.reached.Add(1)
	return s.w.fail
}

func (s steps) Pull(_ context.Context, _ ident.Team, job ident.Job, step ident.Step, r rollouts.PullRequest) (*rollouts.PullResponse, error) {
	if _, err := rollouts.DecodeCursor(r.Have); err != nil {
		return nil, &rollouts.Error{Kind: rollouts.BadRequest, Reason: "have"}
	}
	s.w.reached.Add(1)
	return &rollouts.PullResponse{Job: job, Step: step, End: true}, s.w.fail
}

func (s steps) Status(_ context.Context, _ ident.Team, job ident.Job, step ident.Step) (rollouts.StatusResponse, error) {
	s.w.reached.Add(1)
	return rollouts.StatusResponse{Job: job, Step: step}, s.w.fail
}

func (w *world) port(name string) http.Handler {
	switch name {
	case "caller":
		return w.api.CallerHandler()
	case "trainer":
		return w.api.TrainerHandler()
	default:
		return w.api.AdminHandler()
	}
}

// send makes a request in memory. Headers are "Name: value".
func (w *world) send(port, method, target, key, body string, headers ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, "http://daemon/", strings.NewReader(body))
	if err := setTarget(r, target); err != nil {
		panic(err)
	}
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	for _, h := range headers {
		name, value, _ := strings.Cut(h, ": ")
		r.Header.Add(name, value)
	}
	rec := httptest.NewRecorder()
	w.port(port).ServeHTTP(rec, r)
	return rec
}

func setTarget(r *http.Request, target string) error {
	u, err := r.URL.Parse("http://daemon")
	if err != nil {
		return err
	}
	path, rawQuery, _ := strings.Cut(target, "?")
	u.RawPath, u.RawQuery = path, rawQuery
	if u.Path, err = unescape(path); err != nil {
		return err
	}
	r.URL, r.RequestURI = u, target
	return nil
}
