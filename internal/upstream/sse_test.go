package upstream

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"unicode/utf8"

	"github.com/dogwoodflow/dogwoodflow/internal/wire"
)

// naiveStream reads a whole stream at once, without merging or bounds. It says
// whether the stream is good, and its chunks' total up to where it isn't.
func naiveStream(in string) (Chunk, bool) {
	var total Chunk
	var data []string
	for {
		line, rest, found := strings.Cut(in, "\n")
		if !found {
			return total, false
		}
		in = rest
		line = strings.TrimSuffix(line, "\r")
		name, value, _ := strings.Cut(line, ":")
		switch {
		case line == "" && len(data) == 0:
		case line == "":
			event := strings.Join(data, "\n")
			data = nil
			if event == wire.StreamEnd {
				return total, true
			}
			c, err := parseChunk([]byte(event), "r1")
			if err != nil {
				return total, false
			}
			total = sum(total, c)
		case name == "data":
			data = append(data, strings.TrimPrefix(value, " "))
		case name != "" && name != "event" && name != "id" && name != "retry":
			return total, false
		}
	}
}

func sum(a, b Chunk) Chunk { return Chunk{Text: a.Text + b.Text, Tokens: a.Tokens + b.Tokens} }

func FuzzSSE(f *testing.F) {
	a, b := event("a", 7), event("b\n", 8)
	for _, seed := range []string{
		"", "data: [DONE]\n\n", a + b + "data: [DONE]\n\n", a + b, a + ": ping\n\n" + b + "data: [DONE]\n\n",
		strings.ReplaceAll(a+b+"data:[DONE]\n\n", "\n", "\r\n"), "event: x\nid: 1\nretry\n" + a + "data: [DONE]\n",
		"data: {\"id\":\"r1\",\ndata: \"choices\":[{\"text\":\"x\"}],\"weight_version\":1}\n\ndata: [DONE]\n\n",
		a + strings.Repeat("data: x\n", 200), strings.ReplaceAll(a, "r1", "r2"), event("a", 0), "\ufeff" + a, "data: \xff\n\n",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, in string) {
		want, good := naiveStream(in)
		for _, reader := range []io.Reader{strings.NewReader(in), iotest.OneByteReader(strings.NewReader(in))} {
			const bound = 1 << 10
			s := newStream(reader, "r1", bound)
			var got Chunk
			err := s.read(func(c Chunk) error {
				if c.Version == 0 && c.Text != "" || !utf8.ValidString(c.Text) {
					t.Fatalf("bad chunk %+v", c)
				}
				got = sum(got, c)
				return nil
			})
			if cap(s.events.data) > 4*bound {
				t.Fatalf("holds %d bytes", cap(s.events.data))
			}
			if errors.Is(err, errEventTooLarge) {
				continue // the naive version has no bound
			}
			if (err == nil) != good {
				t.Fatalf("err %v, naive says good: %t", err, good)
			}
			if good && got != want || !strings.HasPrefix(want.Text, got.Text) {
				t.Fatalf("got %+v, want %+v", got, want)
			}
		}
	})
}
