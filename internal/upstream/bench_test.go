package upstream

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
)

// BenchmarkRelay measures how chunks are relayed from an engine, which flushes each chunk,
// through a daemon, which flushes each chunk too, to a caller. All three run in this process.
func BenchmarkRelay(b *testing.B) {
	b.Run("merge=true", func(b *testing.B) { benchmarkRelay(b, false) })
	b.Run("merge=false", func(b *testing.B) { benchmarkRelay(b, true) })
}

func benchmarkRelay(b *testing.B, mergingDisabled bool) {
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Request-Id", "r1")
		w.Header().Set("Content-Type", "text/event-stream")
		for range b.N {
			writeChunk(w, "r1", "tok ")
			w.(http.Flusher).Flush()
		}
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	}))
	defer engine.Close()
	c := New(withoutTimeouts)
	c.mergingDisabled = mergingDisabled
	writes := 0
	daemon := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		t := Target{Name: "e1", Address: engine.Listener.Addr().String()}
		err := c.Generate(context.Background(), t, GenerateRequest{ID: "r1"}, func(chunk Chunk) error {
			writes++
			writeChunk(w, "r1", chunk.Text)
			w.(http.Flusher).Flush()
			return nil
		})
		if err != nil {
			b.Error(err)
		}
	}))
	defer daemon.Close()
	b.ReportAllocs()
	b.ResetTimer()
	before := cpuTime(b)
	resp, err := http.Get(daemon.URL)
	if err != nil {
		b.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	b.ReportMetric(float64(cpuTime(b)-before)/float64(b.N), "cpu-ns/chunk")
	b.ReportMetric(float64(writes)/float64(b.N), "writes/chunk")
}

// cpuTime returns the user and system time that this process has used, in nanoseconds.
func cpuTime(b *testing.B) int64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return usage.Utime.Nano() + usage.Stime.Nano()
}

// BenchmarkParse measures the parsing of a stream that is in memory.
func BenchmarkParse(b *testing.B) {
	stream := strings.Repeat(event("tok ", 7), b.N) + "data: [DONE]\n\n"
	b.ReportAllocs()
	b.ResetTimer()
	if err := newChunkStream(strings.NewReader(stream), GenerateRequest{ID: "r1"}, 1<<10).read(func(Chunk) error { return nil }); err != nil {
		b.Fatal(err)
	}
}
