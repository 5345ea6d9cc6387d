package upstream

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against an engine that goes on behind a completion's largest length: its text would be taken
// into memory for as long as it sends, or be taken for the completion.
func TestCompletionEndsAtItsLargestLength(t *testing.T) {
	const bare = "data: {\"id\":\"r1\",\"choices\":[{\"text\":\"\"}]}\n\n"
	token := event("a", 7)
	for _, c := range []struct {
		name    string
		request GenerateRequest
		stream  string
		valid   bool
	}{
		{"at the largest length", GenerateRequest{ID: "r1", MaxTokens: 5}, bare + strings.Repeat(token, 5) + bare, true},
		{"above it", GenerateRequest{ID: "r1", MaxTokens: 5}, strings.Repeat(token, 6), false},
		{"resumed, at the largest length", GenerateRequest{ID: "r1", MaxTokens: 5, ResumeTokens: 2}, strings.Repeat(token, 3), true},
		{"resumed, above it", GenerateRequest{ID: "r1", MaxTokens: 5, ResumeTokens: 2}, strings.Repeat(token, 4), false},
		{"events without text", GenerateRequest{ID: "r1", MaxTokens: 5}, strings.Repeat(bare, maxBareEvents+1), false},
		{"no largest length", GenerateRequest{ID: "r1"}, strings.Repeat(token, 500), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			err := newChunkStream(strings.NewReader(c.stream+"data: [DONE]\n\n"), c.request, 1<<10).read(func(Chunk) error { return nil })
			g.Expect(err == nil).To(Equal(c.valid), "%v", err)
		})
	}
}
