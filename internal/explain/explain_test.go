package explain

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// recordedLines returns log lines that daemons wrote on a day with an outage of the
// store, a killed VM and slow engines.
func recordedLines(t *testing.T) []Line { return readTestdata(t, "daemons.log") }

func readTestdata(t *testing.T, name string) []Line {
	file, err := os.Open(filepath.Join("testdata", name))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	defer file.Close()
	lines, skipped, err := Read(file)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	NewWithT(t).Expect(skipped).To(BeZero())
	return lines
}

// Guards against an explanation that doesn't name the cause, for a request answered with
// 504, a sample with many runs, a step that ended late and a usage window reported late.
func TestExplainRecordedLines(t *testing.T) {
	lines := append(recordedLines(t), readTestdata(t, "duties.log")...)
	for _, c := range []struct{ id, kind, cause string }{
		{"e10917fa8ca53d30", "request", "answered 504 (deadline) after 1 sends"},
		{"0a4dda9a95d90b56", "sample", "13 runs, 12 broken off; the last: moved to another engine"},
		{"ca9e74da10120020", "batch", "contact to the store was lost 4 times"},
		{"354625307", "window", "1 reports sent, the last: done by edge-surabaya-5, 60 requests of 33 customers, 7.1 s after"},
	} {
		t.Run(c.kind, func(t *testing.T) {
			g := NewWithT(t)
			explanation, err := Explain(lines, c.id)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(explanation.Kind).To(Equal(c.kind))
			g.Expect(explanation.Cause).To(ContainSubstring(c.cause))
			var out bytes.Buffer
			g.Expect(explanation.Write(&out)).To(Succeed())
			golden := filepath.Join("testdata", c.kind+".golden")
			if *update {
				g.Expect(os.WriteFile(golden, out.Bytes(), 0o644)).To(Succeed())
			}
			want, err := os.ReadFile(golden)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(out.String()).To(Equal(string(want)))
		})
	}
}

// Log lines name a batch by its customer and the trainer's ID, but a trainer knows only its
// own ID. Both must find the batch; the qualified one tells customers apart that chose the
// same ID.
func TestBatchIsFoundWithAndWithoutItsCustomer(t *testing.T) {
	g := NewWithT(t)
	lines, _, err := Read(strings.NewReader(`{"batch":"koperasi:7c41","message":"batch submitted","vm":"a","time":"2026-01-01T00:00:00.5Z"}` + "\n"))
	g.Expect(err).NotTo(HaveOccurred())
	for _, id := range []string{"7c41", "koperasi:7c41"} {
		explanation, err := Explain(lines, id)
		g.Expect(err).NotTo(HaveOccurred(), id)
		g.Expect(explanation.Kind).To(Equal("batch"))
	}
	_, err = Explain(lines, "c41")
	g.Expect(err).To(MatchError(ErrNotFound))
}

func TestUnknownIDsAndUnstructuredLines(t *testing.T) {
	g := NewWithT(t)
	_, err := Explain(recordedLines(t), "nobody")
	g.Expect(err).To(MatchError(ErrNotFound))
	lines, skipped, err := Read(strings.NewReader("plain text\n{\"no\":\"message\"}\nprefix {\"message\":\"m\",\"time\":\"2026-01-01T00:00:00.5Z\"}\n"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(skipped).To(Equal(2))
	g.Expect(lines).To(HaveLen(1))
}

func TestRequestCauses(t *testing.T) {
	for _, c := range []struct{ lines, cause string }{
		{`{"request":"r","message":"no route","host":"h","path":"/p","config":3,"time":"2026-01-01T00:00:00Z"}`, "no route for h/p in configuration 3"},
		{`{"request":"r","message":"send failed","upstream":"u1","error":"reset","time":"2026-01-01T00:00:00Z"}
{"request":"r","message":"upstream refused","upstream":"u2","status":503,"time":"2026-01-01T00:00:01Z"}
{"request":"r","message":"call refused","status":502,"reason":"no whole answer","sends":2,"time":"2026-01-01T00:00:02Z"}`,
			"answered 502 (no whole answer) after 2 sends; u1: reset; u2: status 503"},
		{`{"request":"r","message":"send failed","upstream":"u1","error":"reset","time":"2026-01-01T00:00:00Z"}`, "answered in the end; u1: reset"},
		{`{"level":"warn","request":"r","route":"calls","service":"s","customer":"koperasi","priority":2,"late":true,"reason":"share","fraction":0.25,"total":0.314,"source":"fleet","source_age":180.4,"queue_known":true,"queue":41.25,"queue_age":90,"left":620,"retry_after":150.5,"status":503,"message":"call not admitted","time":"2026-01-01T00:00:00Z"}`,
			"answered 503 before any send (not admitted: share); customer koperasi, priority 2, late for its latency target; admitted: 25.0% of its calls, 31.4% of all (by the fleet's demand, 180 ms old); queue time 41.2 ms (90 ms old), 620 ms left; to retry after 150 ms"},
		{`{"request":"r","customer":"","priority":0,"late":false,"reason":"deadline","fraction":1,"total":0.5,"source":"own","source_age":0,"queue_known":false,"queue":0,"queue_age":0,"left":20,"retry_after":0,"status":503,"message":"call not admitted","time":"2026-01-01T00:00:00Z"}`,
			"answered 503 before any send (not admitted: deadline); customer none, priority 0; admitted: 100.0% of its calls, 50.0% of all (by the daemon's own demand, 0 ms old); queue time unknown, 20 ms left; no retry could be served"},
	} {
		g := NewWithT(t)
		lines, _, err := Read(strings.NewReader(c.lines))
		g.Expect(err).NotTo(HaveOccurred())
		explanation, err := Explain(lines, "r")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(explanation.Cause).To(Equal(c.cause))
	}
}

// Guards against causes that leave out a sample's failed reward calls, or the upstreams that
// a request was sent to.
func TestCausesNameRewardCallsAndSends(t *testing.T) {
	g := NewWithT(t)
	lines, _, err := Read(strings.NewReader(`{"time":"2026-01-01T00:00:00.1Z","vm":"a","sample":"s1","batch":"b1","message":"sample run ended"}
{"time":"2026-01-01T00:00:00.5Z","vm":"a","sample":"s1","batch":"b1","reward_call":"r1","error":"reward call without a score","why":"status 500","message":"reward call ended"}
{"time":"2026-01-01T00:00:00.6Z","vm":"a","sample":"s1","batch":"b1","reward_call":"r1","message":"reward call ended"}
{"time":"2026-01-01T00:00:01Z","vm":"a","request":"c1","status":504,"reason":"deadline","sends":2,"tried":["u0 load=9 age=80ms no answer after 780ms","u1 load=-1 age=0ms reset after 3ms"],"message":"call refused"}
`))
	g.Expect(err).NotTo(HaveOccurred())
	explanation, err := Explain(lines, "s1")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(explanation.Cause).To(ContainSubstring("2 reward calls, 1 without a score, the last: status 500"))
	explanation, err = Explain(lines, "c1")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(explanation.Cause).To(ContainSubstring("after 2 sends; u0 load=9 age=80ms no answer after 780ms; u1"))
}
