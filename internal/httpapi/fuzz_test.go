package httpapi_test

import (
	"encoding/json"
	"testing"

	"github.com/dogwoodflow/dogwoodflow/internal/httpapi"
)

// FuzzCompletionBody asserts that whatever stands in a body, a refusal is a
// problem document and came before any upstream.
func FuzzCompletionBody(f *testing.F) {
	for _, seed := range []string{good, good[:9], `{"model":"drafts","prompt":"x","stream":true}`, `{"model":"a","MODEL":"b"}`, "null", "[]", "{}", `{"a":[{"b":1,"b":2}]}`, "\xff", `{"seed":1e999}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) { checkBody(t, "caller", completions, caller, body) })
}

// FuzzPullBody is FuzzCompletionBody for a trainer's pull.
func FuzzPullBody(f *testing.F) {
	for _, seed := range []string{`{}`, `{"have":"OjAAAAEAAAAAAAIAEAAAAAEAAgADAA==","trainer_version":7,"wait_ms":0,"max_groups":9}`, `{"have":"!"}`, `{"have":"OjAAAP////8="}`, `{"wait_ms":-9}`, `{"trainer_version":1e99}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) { checkBody(t, "trainer", step+"/pull", trainer, body) })
}

func checkBody(t *testing.T, port, target, key string, body []byte) {
	w := newWorld()
	rec := w.send(port, "POST", target, key, string(body))
	if rec.Code == 200 {
		return
	}
	var p httpapi.Problem
	if err := json.Unmarshal(rec.Body.Bytes(), &p); err != nil || p.Status != rec.Code || p.Outcome.String() != "not run" {
		t.Fatalf("answer %d to %q is no problem document: %s", rec.Code, body, rec.Body)
	}
	if rec.Code < 400 || rec.Code >= 500 {
		t.Fatalf("answer %d to %q", rec.Code, body)
	}
	if w.reached.Load() != 0 {
		t.Fatalf("refused %q reached an upstream", body)
	}
}
