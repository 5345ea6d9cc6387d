package logline

import (
	"bytes"

	"github.com/rs/zerolog"
)

// maxStdLine bounds what is logged of a line of the standard log package. net/http includes what
// an upstream has sent on an idle connection, and stack traces.
const maxStdLine = 2 << 10

// StdWriter passes lines of the standard log package, which net/http uses, on to a logger.
type StdWriter struct{ Logger zerolog.Logger }

// Write logs one line. It never fails.
func (w StdWriter) Write(line []byte) (int, error) {
	text := bytes.TrimSpace(line)
	w.Logger.Warn().Bytes("line", text[:min(len(text), maxStdLine)]).Int("bytes", len(text)).Msg("line of the standard log")
	return len(line), nil
}
