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

var update = flag.Bool("update", false, "write the golden files anew")

// recorded reads lines that daemons wrote on a day with an outage of the store, a
// killed VM and slow engines.
func recorded(t *testing.T) []Line { return linesOf(t, "daemons.log") }

func linesOf(t *testing.T, name string) []Line {
	file, err := os.Open(filepath.Join("testdata", name))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	defer file.Close()
	lines, skipped, err := Read(file)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	NewWithT(t).Expect(skipped).To(BeZero())
	return lines
}

// Four complaints as they come at night: a call that got 504, a sample that took many
// runs, a step that came late, a window of usage that was reported late. Each story has to
// name its cause in the last line.
func TestStoriesOfRecordedLines(t *testing.T) {
	lines := append(recorded(t), linesOf(t, "duties.log")...)
	for _, c := range []struct{ id, kind, cause string }{
		{"e10917fa8ca53d30", "request", "answered 504 (deadline) after 1 sends"},
		{"0a4dda9a95d90b56", "sample", "13 runs, 12 broken off; the last: moved to another engine"},
		{"ca9e74da10120020", "batch", "contact to the store was lost 4 times"},
		{"354625307", "window", "1 reports sent, the last: done by edge-surabaya-5, 60 requests of 33 customers, 7.1 s after"},
	} {
		t.Run(c.kind, func(t *testing.T) {
			g := NewWithT(t)
			story, err := Walk(lines, c.id)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(story.Kind).To(Equal(c.kind))
			g.Expect(story.Cause).To(ContainSubstring(c.cause))
			var out bytes.Buffer
			g.Expect(story.Write(&out)).To(Succeed())
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

// A trainer complains of a batch by the ID that it gave, while lines name it with its
// customer. Another customer's batch of the same ID is found by its whole name.
func TestBatchIsFoundByItsTrainersID(t *testing.T) {
	g := NewWithT(t)
	lines, _, err := Read(strings.NewReader(`{"batch":"koperasi:7c41","message":"batch submitted","vm":"a","time":"2026-01-01T00:00:00.5Z"}` + "\n"))
	g.Expect(err).NotTo(HaveOccurred())
	for _, id := range []string{"7c41", "koperasi:7c41"} {
		story, err := Walk(lines, id)
		g.Expect(err).NotTo(HaveOccurred(), id)
		g.Expect(story.Kind).To(Equal("batch"))
	}
	_, err = Walk(lines, "c41")
	g.Expect(err).To(MatchError(ErrNotFound))
}

func TestUnknownIDAndOtherText(t *testing.T) {
	g := NewWithT(t)
	_, err := Walk(recorded(t), "nobody")
	g.Expect(err).To(MatchError(ErrNotFound))
	lines, skipped, err := Read(strings.NewReader("plain text\n{\"no\":\"message\"}\nprefix {\"message\":\"m\",\"time\":\"2026-01-01T00:00:00.5Z\"}\n"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(skipped).To(Equal(2))
	g.Expect(lines).To(HaveLen(1))
}

func TestCausesOfRequests(t *testing.T) {
	for _, c := range []struct{ lines, cause string }{
		{`{"request":"r","message":"no route","host":"h","path":"/p","config":3,"time":"2026-01-01T00:00:00Z"}`, "no route for h/p in configuration 3"},
		{`{"request":"r","message":"send failed","upstream":"u1","error":"reset","time":"2026-01-01T00:00:00Z"}
{"request":"r","message":"upstream refused","upstream":"u2","status":503,"time":"2026-01-01T00:00:01Z"}
{"request":"r","message":"call refused","status":502,"reason":"no whole answer","sends":2,"time":"2026-01-01T00:00:02Z"}`,
			"answered 502 (no whole answer) after 2 sends; u1: reset; u2: status 503"},
		{`{"request":"r","message":"send failed","upstream":"u1","error":"reset","time":"2026-01-01T00:00:00Z"}`, "answered in the end; u1: reset"},
	} {
		g := NewWithT(t)
		lines, _, err := Read(strings.NewReader(c.lines))
		g.Expect(err).NotTo(HaveOccurred())
		story, err := Walk(lines, "r")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(story.Cause).To(Equal(c.cause))
	}
}

// A sample stands without a score, and a call waited somewhere. The lines name the reward
// calls and each upstream that was tried; the story's last line has to say so.
func TestStoriesOfScoresAndSends(t *testing.T) {
	g := NewWithT(t)
	lines, _, err := Read(strings.NewReader(`{"time":"2026-01-01T00:00:00.1Z","vm":"a","sample":"s1","batch":"b1","message":"sample run ended"}
{"time":"2026-01-01T00:00:00.5Z","vm":"a","sample":"s1","batch":"b1","reward_call":"r1","error":"reward call without a score","why":"status 500","message":"reward call ended"}
{"time":"2026-01-01T00:00:00.6Z","vm":"a","sample":"s1","batch":"b1","reward_call":"r1","message":"reward call ended"}
{"time":"2026-01-01T00:00:01Z","vm":"a","request":"c1","status":504,"reason":"deadline","sends":2,"tried":["u0 load=9 age=80ms no answer after 780ms","u1 load=-1 age=0ms reset after 3ms"],"message":"call refused"}
`))
	g.Expect(err).NotTo(HaveOccurred())
	story, err := Walk(lines, "s1")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(story.Cause).To(ContainSubstring("2 reward calls, 1 without a score, the last: status 500"))
	story, err = Walk(lines, "c1")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(story.Cause).To(ContainSubstring("after 2 sends; u0 load=9 age=80ms no answer after 780ms; u1"))
}
