// Package explain derives from the daemons' log lines why a request, a sample, a batch
// or a usage window ended as it did. It has no side effects: it takes log lines and
// returns an Explanation.
package explain

import (
	"bufio"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"
)

// ErrNotFound is returned for an ID that occurs in no line.
var ErrNotFound = errors.New("no log line has this ID")

// Line is one structured log line of a daemon.
type Line struct {
	Time    time.Time
	VM      string // name of the daemon's VM, "" if the line has none
	Level   string
	Message string
	Fields  map[string]any // the other fields, decoded from JSON
}

// Read parses a daemon's output. Lines that aren't structured log lines are left out
// and counted in skipped.
func Read(in io.Reader) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line, ok := parseLine(scanner.Text())
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	return lines, skipped, scanner.Err()
}

// maxLineBytes is far above the length of the lines that daemons write.
const maxLineBytes = 1 << 20

// parseLine parses a JSON log line, which may follow a prefix that the log collector
// added. It returns false if the line isn't JSON or has no message or no valid time.
func parseLine(text string) (Line, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if json.Unmarshal([]byte(text[start:]), &fields) != nil {
		return Line{}, false
	}
	l := Line{Fields: fields}
	l.Message = l.takeText("message")
	l.VM = l.takeText("vm")
	l.Level = l.takeText("level")
	timestamp, err := time.Parse(time.RFC3339Nano, l.takeText("time"))
	if err != nil || l.Message == "" {
		return Line{}, false
	}
	l.Time = timestamp
	return l, true
}

// takeText removes a string field and returns its value, or "" if there is none.
func (l *Line) takeText(name string) string {
	value, _ := l.Fields[name].(string)
	delete(l.Fields, name)
	return value
}

// Text returns the value of a string field, or "" if there is none.
func (l *Line) Text(name string) string {
	value, _ := l.Fields[name].(string)
	return value
}

// number returns the value of a number field, or 0 if there is none.
func (l *Line) number(name string) float64 {
	value, _ := l.Fields[name].(float64)
	return value
}

// List returns the elements of an array field as strings, or nil if there is no such
// field.
func (l Line) List(field string) []string {
	values, _ := l.Fields[field].([]any)
	var out []string
	for _, v := range values {
		out = append(out, fmt.Sprint(v))
	}
	return out
}

// Explanation is what the log lines tell about an ID.
type Explanation struct {
	ID    string
	Kind  string // request, sample, batch or window
	Lines []Line // lines with the ID, of a sample's batch, and for context, by time
	Cause string // one-line summary
}

// idFields are the fields whose values can be explained. Their names are the kinds of
// an Explanation.
var idFields = []string{"request", "sample", "batch", "window"}

// customerSeparator separates the customer from the trainer's ID in a batch field.
const customerSeparator = ":"

// hasID reports whether the field holds the ID. A batch matches with or without its
// customer, since trainers know only the ID that they chose. Usage windows are numbers.
func (l *Line) hasID(field, id string) bool {
	switch value := l.Fields[field].(type) {
	case string:
		return value == id || field == "batch" && strings.HasSuffix(value, customerSeparator+id)
	case float64:
		return strconv.FormatFloat(value, 'f', -1, 64) == id
	}
	return false
}

// Explain collects the lines that concern an ID and derives the cause from them. The
// error wraps ErrNotFound if no line has the ID.
func Explain(lines []Line, id string) (Explanation, error) {
	e := Explanation{ID: id}
	var matching []Line
	for _, l := range lines {
		for _, field := range idFields {
			if l.hasID(field, id) {
				e.Kind = field
				matching = append(matching, l)
				break
			}
		}
	}
	if len(matching) == 0 {
		return Explanation{}, fmt.Errorf("%w: %s", ErrNotFound, id)
	}
	matching = append(matching, batchLines(lines, matching, e.Kind)...)
	e.Lines = append(matching, contextLines(lines, matching)...)
	slices.SortStableFunc(e.Lines, func(a, b Line) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.VM, b.VM))
	})
	e.Cause = cause(e)
	return e, nil
}

// batchLines returns, for a sample, the lines about its batch that name no sample.
func batchLines(lines, matching []Line, kind string) []Line {
	if kind != "sample" {
		return nil
	}
	id := matching[0].Text("batch")
	var out []Line
	for _, l := range lines {
		if l.Text("batch") == id && l.Text("sample") == "" {
			out = append(out, l)
		}
	}
	return out
}

// contextMessages are messages without an ID that report the state of a VM or an
// upstream.
var contextMessages = []string{
	"started", "stopping: not ready any more", "stopped", "settings read again", "store contact changed", "group not reached",
	"partitions owned", "configuration read", "engine is slow, moving samples", "append failed, trying again", "load ended",
	"load for another VM ended", "upstream registered", "upstream removed",
	"turn for the duties changed", "duty not claimed", "duty's call ended", "platform not reached, duty left to others",
	"duties' log not read to its end, nothing is done", "record of the duties not appended",
	"service contended", "service no longer contended", "coordinator regained",
	"coordinator lost; own demand is used once the last table has expired",
}

// contextLead is how long before the first matching line context lines start.
const contextLead = 3 * time.Second

// contextLines returns the lines with contextMessages of the VMs and upstreams that the
// matching lines name, from contextLead before the first to the last matching line.
func contextLines(lines, matching []Line) []Line {
	vms, upstreams := map[string]bool{}, map[string]bool{}
	from, to := matching[0].Time, matching[0].Time
	for _, l := range matching {
		vms[l.VM] = true
		if upstream := l.Text("upstream"); upstream != "" {
			upstreams[upstream] = true
		}
		if l.Time.Before(from) {
			from = l.Time
		}
		if l.Time.After(to) {
			to = l.Time
		}
	}
	var out []Line
	for _, l := range lines {
		upstream := l.Text("upstream")
		involved := vms[l.VM] && upstream == "" || upstreams[upstream]
		if involved && slices.Contains(contextMessages, l.Message) && l.Time.After(from.Add(-contextLead)) && !l.Time.After(to) {
			out = append(out, l)
		}
	}
	return dropRepeats(out)
}

// repeatInterval is how long the same message of a VM is left out after it was kept, so
// that the retries during an outage take one line.
const repeatInterval = 5 * time.Second

// dropRepeats removes lines that repeat a line kept less than repeatInterval before.
func dropRepeats(lines []Line) []Line {
	lastKept := map[string]time.Time{}
	return slices.DeleteFunc(lines, func(l Line) bool {
		key := fmt.Sprint(l.VM, l.Message, l.Fields["up"], l.Fields["upstream"], l.Fields["generation"], l.Fields["service"])
		if at, ok := lastKept[key]; ok && l.Time.Sub(at) < repeatInterval {
			return true
		}
		lastKept[key] = l.Time
		return false
	})
}

// Write prints a header, one line per log line with its fields sorted by name, and the
// cause.
func (e Explanation) Write(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "%s %s\n", e.Kind, e.ID); err != nil {
		return err
	}
	for _, l := range e.Lines {
		if _, err := fmt.Fprintf(w, "%s %-18s %s%s\n", l.Time.UTC().Format("15:04:05.000"), l.VM, l.Message, l.formatFields(e.ID)); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "cause: %s\n", e.Cause)
	return err
}

// formatValue formats a field's value, numbers without an exponent.
func formatValue(value any) string {
	if n, ok := value.(float64); ok {
		return strconv.FormatFloat(n, 'f', -1, 64)
	}
	return fmt.Sprint(value)
}

// formatFields formats the fields sorted by name, without those that hold the ID
// already printed in the header.
func (l *Line) formatFields(id string) string {
	var out strings.Builder
	names := make([]string, 0, len(l.Fields))
	for name, value := range l.Fields {
		if value != id {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintf(&out, " %s=%s", name, formatValue(l.Fields[name]))
	}
	return out.String()
}
