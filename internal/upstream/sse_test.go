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

// readNaively parses a whole stream without merging and without size limits. It returns the
// concatenation of the valid chunks and whether the stream is complete and valid.
func readNaively(stream string) (Chunk, bool) {
	var total Chunk
	var data []string
	for {
		line, rest, found := strings.Cut(stream, "\n")
		if !found {
			return total, false
		}
		stream = rest
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
			total = concatChunks(total, c)
		case name == "data":
			data = append(data, strings.TrimPrefix(value, " "))
		case name != "" && name != "event" && name != "id" && name != "retry":
			return total, false
		}
	}
}

// concatChunks adds the texts and the token counts of two chunks.
func concatChunks(a, b Chunk) Chunk { return Chunk{Text: a.Text + b.Text, Tokens: a.Tokens + b.Tokens} }

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
	f.Fuzz(func(t *testing.T, stream string) {
		want, valid := readNaively(stream)
		for _, reader := range []io.Reader{strings.NewReader(stream), iotest.OneByteReader(strings.NewReader(stream))} {
			const maxEventBytes = 1 << 10
			s := newChunkStream(reader, GenerateRequest{ID: "r1"}, maxEventBytes)
			var got Chunk
			err := s.read(func(c Chunk) error {
				if c.Version == 0 && c.Text != "" || !utf8.ValidString(c.Text) {
					t.Fatalf("invalid chunk %+v", c)
				}
				got = concatChunks(got, c)
				return nil
			})
			if cap(s.events.data) > 4*maxEventBytes {
				t.Fatalf("the buffer for the data of an event has %d bytes", cap(s.events.data))
			}
			if errors.Is(err, errEventTooLarge) {
				continue // readNaively has no size limit
			}
			if (err == nil) != valid {
				t.Fatalf("got error %v, readNaively returned %t", err, valid)
			}
			if valid && got != want || !strings.HasPrefix(want.Text, got.Text) {
				t.Fatalf("got %+v, want %+v", got, want)
			}
		}
	})
}
