package trainer

import (
	"fmt"
	"io"
	"net/http"
	"strings"
)

// cutter cuts the connection in the middle of answers.
type cutter struct {
	left int // answers still to cut
	seen int // answers with groups so far
}

// minCut is an answer's size in bytes from which on it has a group to lose.
const minCut = 1 << 10

// due says whether an answer is to be cut: two running of every three, so that
// what was cut is cut again when it is asked for anew.
func (c *cutter) due(response *http.Response) bool {
	small := response.ContentLength >= 0 && response.ContentLength < minCut
	if c.left == 0 || small || !strings.HasSuffix(response.Request.URL.Path, "/pull") || response.StatusCode != http.StatusOK {
		return false
	}
	c.seen++
	if c.seen%3 == 0 {
		return false
	}
	c.left--
	return true
}

// cutHere reads half an answer; its caller closes the connection.
func cutHere(response *http.Response) error {
	half := response.ContentLength / 2
	if half < 0 {
		half = minCut
	}
	n, _ := io.CopyN(io.Discard, response.Body, half)
	return fmt.Errorf("%w: after %d bytes", ErrCut, n)
}
