package httpapi_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/config"
	"github.com/dogwoodflow/dogwoodflow/internal/dispatch"
	"github.com/dogwoodflow/dogwoodflow/internal/httpapi"
	"github.com/dogwoodflow/dogwoodflow/internal/outcome"
	"github.com/dogwoodflow/dogwoodflow/internal/rollouts"
)

func unescape(path string) (string, error) { return url.PathUnescape(path) }

var (
	caller   = keyOf("koperasi", config.RoleCaller)
	trainer  = keyOf("koperasi", config.RoleTrainer)
	operator = keyOf("koperasi", config.RoleOperator)
)

// problemIn checks that an answer is a whole problem document.
func problemIn(rec *httptest.ResponseRecorder) httpapi.Problem {
	GinkgoHelper()
	Expect(rec.Header().Get("Content-Type")).To(Equal("application/problem+json"))
	Expect(rec.Header().Get("Content-Length")).To(Equal(strconv.Itoa(rec.Body.Len())))
	var p httpapi.Problem
	Expect(json.Unmarshal(rec.Body.Bytes(), &p)).To(Succeed())
	Expect(p.Status).To(Equal(rec.Code))
	Expect(p.Title).NotTo(BeEmpty())
	return p
}

const (
	completions = "/v1/completions"
	step        = "/v1/jobs/clerk/steps/1"
	good        = `{"model":"drafts","prompt":"x"}`
)

var _ = DescribeTable("bad requests reach no upstream",
	func(port, method, target, key, body string, status int, detail string, headers ...string) {
		w := newWorld()
		p := problemIn(w.send(port, method, target, key, body, headers...))
		Expect(p.Status).To(Equal(status), p.Detail)
		Expect(p.Detail).To(ContainSubstring(detail))
		Expect(p.Outcome).To(Equal(outcome.NotRun))
		Expect(w.reached.Load()).To(BeZero())
	},
	Entry("no body", "caller", "POST", completions, caller, "", 400, "empty"),
	Entry("not JSON", "caller", "POST", completions, caller, "{model:1}", 400, "not JSON"),
	Entry("no object", "caller", "POST", completions, caller, "null", 400, "not a JSON object"),
	Entry("cut off", "caller", "POST", completions, caller, good[:20], 400, "ends early"),
	Entry("something behind", "caller", "POST", completions, caller, good+"{}", 400, "behind"),
	Entry("a name twice", "caller", "POST", completions, caller, `{"model":"a","prompt":"x","model":"b"}`, 400, `"model" stands twice`),
	Entry("a name twice in another case", "caller", "POST", completions, caller, `{"model":"a","prompt":"x","MODEL":"b"}`, 400, "twice"),
	Entry("a name twice, nested", "caller", "POST", "/v1/chat/completions", caller, `{"model":"drafts","messages":[{"role":"user","content":"a","content":"b"}]}`, 400, `"content" stands twice`),
	Entry("an unknown field", "caller", "POST", completions, caller, `{"model":"drafts","prompt":"x","temprature":1}`, 400, "temprature"),
	Entry("not UTF-8", "caller", "POST", completions, caller, "{\"model\":\"drafts\",\"prompt\":\"\xff\"}", 400, "UTF-8"),
	Entry("a huge number", "caller", "POST", completions, caller, `{"model":"drafts","prompt":"x","max_tokens":1e400}`, 400, "max_tokens"),
	Entry("a number past 64 bits", "caller", "POST", completions, caller, `{"model":"drafts","prompt":"x","seed":99999999999999999999}`, 400, "seed"),
	Entry("a negative limit", "caller", "POST", completions, caller, `{"model":"drafts","prompt":"x","max_tokens":-1}`, 400, "negative"),
	Entry("more than the model allows", "caller", "POST", completions, caller, `{"model":"drafts","prompt":"x","max_tokens":101}`, 422, "at most 100"),
	Entry("the wrong type", "caller", "POST", completions, caller, `{"model":["drafts"],"prompt":"x"}`, 400, `"model" can't take a array`),
	Entry("nesting", "caller", "POST", completions, caller, `{"model":`+strings.Repeat("[", 900), 400, ""),
	Entry("too large", "caller", "POST", completions, caller, `{"model":"drafts","prompt":"`+strings.Repeat("x", 1000)+`"}`, 413, "1000 bytes"),
	Entry("encoded", "caller", "POST", completions, caller, good, 415, "Content-Encoding", "Content-Encoding: gzip"),
	Entry("another team's model", "caller", "POST", completions, caller, `{"model":"nope","prompt":"x"}`, 404, "nope"),
	Entry("GET of a completion", "caller", "GET", completions, caller, "", 405, "POST"),
	Entry("HEAD of a completion", "caller", "HEAD", completions, caller, "", 405, "POST"),
	Entry("OPTIONS", "caller", "OPTIONS", completions, caller, "", 405, "POST"),
	Entry("CONNECT", "caller", "CONNECT", "", caller, "", 405, "CONNECT"),
	Entry("TRACE", "caller", "TRACE", "/booking", caller, "", 405, "TRACE"),
	Entry("OPTIONS of a route without it", "caller", "OPTIONS", "/booking", caller, "", 422, "GET"),
	Entry("no route", "caller", "POST", "/nowhere", caller, "", 404, "no route"),
	Entry("a route's prefix within a segment", "caller", "POST", "/bookings", caller, "", 404, "no route"),
	Entry("dots out of the route", "caller", "POST", "/booking/../admin", caller, "", 400, ".."),
	Entry("encoded dots", "caller", "POST", "/booking/%2e%2E/admin", caller, "", 400, ".."),
	Entry("encoded dots and slash", "caller", "POST", "/booking/..%2fadmin", caller, "", 400, ".."),
	Entry("backslashes", "caller", "POST", "/booking/..%5cadmin", caller, "", 400, ".."),
	Entry("a zero byte", "caller", "POST", "/booking/%00", caller, "", 400, "control"),
	Entry("an empty idempotency key", "caller", "POST", "/booking", caller, "", 400, "Idempotency-Key", "Idempotency-Key: "),
	Entry("two idempotency keys", "caller", "POST", "/booking", caller, "", 400, "Idempotency-Key", "Idempotency-Key: a", "Idempotency-Key: b"),
	Entry("too large for a service", "caller", "POST", "/booking", caller, strings.Repeat("x", 1001), 413, "1000 bytes"),
	Entry("no key", "caller", "POST", completions, "", good, 401, "Bearer"),
	Entry("a blank key", "caller", "POST", completions, " ", good, 401, "Bearer"),
	Entry("two keys", "caller", "POST", completions, caller, good, 401, "Bearer", "Authorization: Bearer x"),
	Entry("another scheme", "caller", "POST", completions, "", good, 401, "Bearer", "Authorization: Basic "+caller),

	Entry("a step that is no number", "trainer", "PUT", "/v1/jobs/clerk/steps/x", trainer, "{}", 400, "step"),
	Entry("a negative step", "trainer", "PUT", "/v1/jobs/clerk/steps/-1", trainer, "{}", 400, "step"),
	Entry("a huge step", "trainer", "PUT", "/v1/jobs/clerk/steps/9223372036854775808", trainer, "{}", 400, "step"),
	Entry("a job with a slash", "trainer", "GET", "/v1/jobs/a%2Fb/steps/1", trainer, "", 400, "job"),
	Entry("a step without a job", "trainer", "GET", "/v1/jobs//steps/1", trainer, "", 404, "no endpoint"),
	Entry("a negative version", "trainer", "PUT", step, trainer, `{"trainer_version":-1}`, 400, "trainer_version"),
	Entry("a huge expectation", "trainer", "PUT", step, trainer, `{"prompts":[{"text":"a","expected_tokens":9000000000}]}`, 400, "prompts/0"),
	Entry("prompts of another type", "trainer", "PUT", step, trainer, `{"prompts":"a"}`, 400, "prompts"),
	Entry("a negative wait", "trainer", "POST", step+"/pull", trainer, `{"wait_ms":-1}`, 400, "wait_ms"),
	Entry("a bad cursor", "trainer", "POST", step+"/pull", trainer, `{"have":"!"}`, 422, "have"),
	Entry("PATCH of a step", "trainer", "PATCH", step, trainer, "{}", 405, "GET, PUT, DELETE"),

	Entry("a branch that can't be", "admin", "GET", "/v1/config?branch=teams/..", adminToken, "", 400, "branch"),
	Entry("a change without a branch", "admin", "POST", "/v1/config/changes", adminToken, `{"ops":[]}`, 400, "branch"),
	Entry("a diff that breaks the schema", "admin", "POST", "/v1/config/diff", operator, `{"branch":"teams/koperasi","ops":[{"path":"limits/max_queue","value":-1}]}`, 422, "teams/koperasi/limits/max_queue: -1: must be"),
	Entry("a restore without a tree", "admin", "POST", "/v1/config/restore", adminToken, `{}`, 422, "file: must hold one object"),
	Entry("a restore that breaks the schema", "admin", "POST", "/v1/config/restore", adminToken, `{"tree":{"fleet":{"production_reserve":2}}}`, 422, "fleet/production_reserve: 2: must be"),
	Entry("a watch after nothing", "admin", "GET", "/v1/config/watch?branch=teams/koperasi&after=-1", operator, "", 400, "after"),
	Entry("a limit that is no number", "admin", "GET", "/v1/timeline?limit=1e9", operator, "", 400, "limit"),
	Entry("a missing job", "admin", "GET", "/v1/teams/koperasi/jobs/nope", operator, "", 404, "no job nope"),
	Entry("POST of a list", "admin", "POST", "/v1/upstreams", adminToken, "", 405, "GET"),
)

var _ = Describe("requests over a connection", func() {
	It("refuses a body that breaks off, and one that is too large before it is sent", func() {
		w := newWorld()
		server := httptest.NewServer(w.port("caller"))
		defer server.Close()
		request := func(raw string) string {
			conn := dial(server)
			defer func() { _ = conn.Close() }()
			_, err := io.WriteString(conn, raw)
			Expect(err).NotTo(HaveOccurred())
			Expect(conn.CloseWrite()).To(Succeed())
			answer, err := io.ReadAll(conn)
			Expect(err).NotTo(HaveOccurred())
			return string(answer)
		}
		head := "POST /v1/completions HTTP/1.1\r\nHost: d\r\nAuthorization: Bearer " + caller + "\r\n"
		Expect(request(head + "Content-Length: 500\r\n\r\n" + good)).To(HavePrefix("HTTP/1.1 400"))
		Expect(request(head + "Transfer-Encoding: chunked\r\n\r\n5\r\n{\"mod")).To(HavePrefix("HTTP/1.1 400"))
		Expect(request(head + "Expect: 100-continue\r\nContent-Length: 5000\r\n\r\n")).To(HavePrefix("HTTP/1.1 413"))
		Expect(request(strings.Replace(head, caller, "unknown", 1) + "Expect: 100-continue\r\nContent-Length: 50\r\n\r\n")).To(HavePrefix("HTTP/1.1 401"))
		Expect(w.reached.Load()).To(BeZero())
	})
})

// slowBody stands for a connection whose read deadline passes in mid-body.
type slowBody struct{}

func (slowBody) Read([]byte) (int, error) { return 0, os.ErrDeadlineExceeded }

var _ = Describe("a client that trickles its body", func() {
	It("is told so once the deadline has passed", func() {
		w := newWorld()
		r := httptest.NewRequest("POST", completions, slowBody{})
		r.Header.Set("Authorization", "Bearer "+caller)
		rec := httptest.NewRecorder()
		w.port("caller").ServeHTTP(rec, r)
		Expect(problemIn(rec).Status).To(Equal(http.StatusRequestTimeout))
		Expect(w.reached.Load()).To(BeZero())
	})
})

var _ = Describe("answers", func() {
	It("tells when to come back on 429, 503 and poison, also when the layers below don't", func() {
		w := newWorld()
		for reason, status := range map[dispatch.Reason]int{dispatch.ReasonOverloaded: 429, dispatch.ReasonQueueTimeout: 429, dispatch.ReasonNoUpstream: 503, dispatch.ReasonDraining: 503, dispatch.ReasonPoison: 503} {
			w.fail = &dispatch.Error{Reason: reason, Outcome: outcome.NotRun}
			rec := w.send("caller", "POST", "/booking", caller, "")
			Expect(problemIn(rec).Status).To(Equal(status))
			Expect(rec.Header().Get("Retry-After")).To(Equal("1"), reason.String())
		}
		w.fail = &dispatch.Error{Reason: dispatch.ReasonPoison, Outcome: outcome.Unknown, RetryAfter: 90*time.Second + 1}
		Expect(w.send("caller", "POST", "/booking", caller, "").Header().Get("Retry-After")).To(Equal("91"))
	})

	It("lets whoever watches go when the daemon stops", func() {
		w := newWorld()
		done := make(chan *httptest.ResponseRecorder)
		go func() {
			done <- w.send("admin", "GET", "/v1/config/watch?after=99&branch=teams/koperasi", operator, "")
		}()
		w.api.Drain()
		Expect((<-done).Code).To(Equal(http.StatusServiceUnavailable))
	})

	It("isn't ready without a configuration or when stopping, and says so", func() {
		w := newWorld()
		Expect(w.send("admin", "GET", "/readyz", "", "").Code).To(Equal(http.StatusOK))
		w.api.Drain()
		rec := w.send("admin", "GET", "/readyz", "", "")
		Expect(rec.Code).To(Equal(http.StatusServiceUnavailable))
		Expect(rec.Body.String()).To(ContainSubstring("stopping"))
		p := problemIn(w.send("admin", "GET", "/v1/config/watch?after=99&branch=teams/koperasi", operator, ""))
		Expect(p.Detail).To(ContainSubstring("stopping"))
		w.state = config.Empty()
		p = problemIn(w.send("caller", "POST", completions, caller, good))
		Expect([]int{p.Status, p.RetryAfter}).To(Equal([]int{503, 2}))
	})

	It("isn't ready before it has met its peers", func() {
		w := newWorld()
		settled := false
		w.api.ReadyOnceSettled(func() bool { return settled })
		rec := w.send("caller", "GET", "/readyz", "", "")
		Expect(rec.Code).To(Equal(http.StatusServiceUnavailable))
		Expect(rec.Body.String()).To(ContainSubstring("peers"))
		settled = true
		Expect(w.send("caller", "GET", "/readyz", "", "").Code).To(Equal(http.StatusOK))
	})

	It("tells a lost race from a change that breaks the schema, and a step that is too large", func() {
		w := newWorld()
		change := `{"id":"c1","branch":"teams/koperasi","base":4,"ops":[{"path":"limits/max_queue","value":-1}]}`
		w.verdict = config.Verdict{ChangeID: "c1", Version: 5, Path: "teams/koperasi", Reason: "made on version 4"}
		Expect(problemIn(w.send("admin", "POST", "/v1/config/changes", operator, change)).Status).To(Equal(409))
		w.verdict = config.Verdict{ChangeID: "c1", Version: 4, Path: "teams/koperasi/limits/max_queue", Reason: "must be"}
		Expect(problemIn(w.send("admin", "POST", "/v1/config/changes", operator, change)).Status).To(Equal(422))
		w.fail = &rollouts.Error{Kind: rollouts.TooLarge, Reason: "prompts"}
		Expect(problemIn(w.send("trainer", "PUT", step, trainer, `{"prompts":[{"text":"a"}]}`)).Status).To(Equal(413))
	})

	It("passes neither the key nor a connection's own headers on to a service", func() {
		w := newWorld()
		w.answer.Header = http.Header{"X-Not-Run": {"true"}, "X-Leaving": {"true"}, "X-Kept": {"yes"}}
		rec := w.send("caller", "POST", "/booking/a%2Fb?q=1", caller, "body", "Connection: X-Hop", "X-Hop: 1", "Expect: 100-continue", "X-Mine: 2")
		Expect(rec.Body.String()).To(Equal("booked"))
		Expect(w.call.Path).To(Equal("/booking/a%2Fb?q=1"))
		Expect(w.call.Header).To(Equal(http.Header{"X-Mine": {"2"}}))
		Expect(rec.Header()).To(HaveKeyWithValue("X-Kept", []string{"yes"}))
		Expect(rec.Header()).NotTo(Or(HaveKey("X-Not-Run"), HaveKey("X-Leaving")))
	})

	It("keeps the length that a service states for HEAD", func() {
		w := newWorld()
		w.answer.Body, w.answer.Header = nil, http.Header{"Content-Length": {"77"}}
		Expect(w.send("caller", "HEAD", "/booking", caller, "").Header().Get("Content-Length")).To(Equal("77"))
	})

	It("shows a diff in which only what changes stands", func() {
		rec := newWorld().send("admin", "POST", "/v1/config/diff", operator, `{"branch":"teams/koperasi","ops":[{"path":"limits/max_queue","value":5}]}`)
		Expect(rec.Body.String()).To(MatchJSON(`{"branch":"teams/koperasi","branch_version":2,"ops":[{"path":"limits/max_queue","value":5}]}`))
	})
})
