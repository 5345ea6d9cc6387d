package httpapi_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/config"
	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/outcome"
)

// endpoint is a row of the matrix. allowed has a letter for each key that opens
// it: c(aller), t(rainer), o(perator), a(dministrator), x (operator of another
// team, on paths that name koperasi).
type endpoint struct{ port, method, target, body, allowed string }

const change = `{"branch":"teams/koperasi","base":2,"ops":[{"path":"limits/max_queue","value":5}]}`

var endpoints = []endpoint{
	{"caller", "POST", "/v1/completions", good, "ctox"}, // each to its own team
	{"caller", "POST", "/v1/chat/completions", `{"model":"drafts","messages":[{"role":"user","content":"x"}]}`, "ctox"},
	{"caller", "POST", "/booking", "x", "ctox"},
	{"trainer", "PUT", step, `{"prompts":[{"text":"x"}]}`, "tox"},
	{"trainer", "GET", step, "", "tox"},
	{"trainer", "DELETE", step, "", "tox"},
	{"trainer", "POST", step + "/pull", "{}", "tox"},
	{"admin", "GET", "/v1/whoami", "", "oax"},
	{"admin", "GET", "/v1/config", "", "a"},
	{"admin", "GET", "/v1/config?branch=fleet", "", "a"},
	{"admin", "GET", "/v1/config?branch=teams/koperasi", "", "oa"},
	{"admin", "GET", "/v1/config/watch?after=0&branch=teams/koperasi", "", "oa"},
	{"admin", "GET", "/v1/config/watch?after=0", "", "a"},
	{"admin", "POST", "/v1/config/changes", change, "oa"},
	{"admin", "POST", "/v1/config/changes", strings.Replace(change, "teams/koperasi", "fleet", 1), "a"},
	{"admin", "POST", "/v1/config/diff", change, "oa"},
	{"admin", "POST", "/v1/config/restore", `{"tree":{"fleet":{}}}`, "a"},
	{"admin", "GET", "/v1/config/history", "", "a"},
	{"admin", "GET", "/v1/config/history?branch=teams/koperasi", "", "oa"},
	{"admin", "GET", "/v1/teams/koperasi/jobs", "", "oa"},
	{"admin", "GET", "/v1/teams/koperasi/steps", "", "oa"},
	{"admin", "GET", "/v1/teams/koperasi/jobs/clerk", "", "oa"},
	{"admin", "GET", "/v1/teams/%6boperasi/jobs/clerk", "", "oa"},
	{"admin", "GET", "/v1/teams/koperasi/jobs/clerk/steps/1", "", "oa"},
	{"admin", "DELETE", "/v1/teams/koperasi/jobs/clerk/steps/1", "", "oa"},
	{"admin", "GET", "/v1/upstreams", "", "a"},
	{"admin", "GET", "/v1/daemons", "", "a"},
	{"admin", "GET", "/v1/timeline", "", "oax"}, // each its own team's events
	{"admin", "GET", "/v1/timeline?team=koperasi", "", "oa"},
	{"admin", "GET", "/debug/vars", "", "a"},
}

var keys = map[string]string{
	"c": caller, "t": trainer, "o": operator, "a": adminToken,
	"x": keyOf("other", config.RoleOperator), "nobody": "", "unknown": "no-such-key-0123456789",
}

var _ = Describe("the keys", func() {
	for _, e := range endpoints {
		It("open no more than they should at "+e.method+" "+e.target+" ("+e.port+")", func() {
			for who, key := range keys {
				w := newWorld()
				rec := w.send(e.port, e.method, e.target, key, e.body)
				if strings.Contains(e.allowed, who) {
					Expect(rec.Code).To(BeNumerically("<", 300), "%s: %s", who, rec.Body)
					continue
				}
				p := problemIn(rec)
				Expect(p.Status).To(BeElementOf(401, 403), "%s: %s", who, rec.Body)
				Expect(p.Outcome).To(Equal(outcome.NotRun))
				Expect(w.reached.Load()).To(BeZero(), who)
				Expect(rec.Body.String()).NotTo(And(Not(BeEmpty()), ContainSubstring("no-such-key")))
				Expect(rec.Header().Get("WWW-Authenticate") != "").To(Equal(p.Status == 401))
			}
		})
	}

	It("show a team only its own events, whatever it asks for", func() {
		w := newWorld()
		Expect(w.send("admin", "GET", "/v1/timeline?job=clerk", keys["x"], "").Code).To(Equal(200))
		Expect(w.filter.Team).To(Equal(ident.Team("other")))
		Expect(w.send("admin", "GET", "/v1/timeline?job=clerk", adminToken, "").Code).To(Equal(200))
		Expect(w.filter.Team).To(BeEmpty())
	})
})
