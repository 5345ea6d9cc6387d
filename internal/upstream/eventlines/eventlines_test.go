package eventlines

import (
	"errors"
	"io"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

func TestNext(t *testing.T) {
	long := strings.Repeat("x", 2*bufferBytes)
	for _, c := range []struct {
		name, in string
		want     []string
		err      error
	}{
		{"lines", "a\n\r\nb\r\n", []string{"a\n", "\r\n", "b\r\n"}, io.EOF},
		{"a CR within a line", "a\rb\n", []string{"a\rb\n"}, io.EOF},
		{"longer than the buffer", long + "\nb\n", []string{long + "\n", "b\n"}, io.EOF},
		{"an end without a line end", "a\nb", []string{"a\n", "b"}, io.EOF},
		{"an end in a long line", long, []string{long}, io.EOF},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			r := New(strings.NewReader(c.in), 1<<20)
			var got []string
			for {
				line, err := r.Next()
				if len(line) > 0 {
					got = append(got, string(line))
				}
				if err != nil {
					g.Expect(err).To(MatchError(c.err))
					break
				}
			}
			g.Expect(got).To(Equal(c.want))
		})
	}
}

// endless repeats a text without end and counts the bytes that were read.
type endless struct {
	text string
	read int
}

func (e *endless) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = e.text[(e.read+i)%len(e.text)]
	}
	e.read += len(p)
	return len(p), nil
}

// A line or a series of lines without end must be read no further than the limit.
func TestLimit(t *testing.T) {
	const limit = 10 << 10
	for _, text := range []string{"x", "\n", ": x\n", "data: x\r\n"} {
		g := NewWithT(t)
		in := &endless{text: text}
		r := New(in, limit)
		var err error
		for err == nil {
			_, err = r.Next()
		}
		g.Expect(errors.Is(err, ErrTooLong)).To(BeTrue())
		g.Expect(in.read).To(BeNumerically("<=", limit+bufferBytes), "%q", text)
		g.Expect(cap(r.long)).To(BeNumerically("<=", 2*limit), "%q", text)
	}
}

// The limit is that of one event, not of the stream.
func TestResetStartsTheLimitAnew(t *testing.T) {
	g := NewWithT(t)
	r := New(strings.NewReader(strings.Repeat("123456789\n", 100)), 15)
	for range 100 {
		_, err := r.Next()
		g.Expect(err).NotTo(HaveOccurred())
		r.Reset()
	}
	_, err := r.Next()
	g.Expect(err).To(MatchError(io.EOF))
}
