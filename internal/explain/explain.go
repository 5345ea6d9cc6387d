// Package explain finds in the daemons' log lines why a request, a sample or a
// batch ended as it did. It is pure: lines go in, a story comes out.
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

// ErrNotFound says that no line names the ID.
var ErrNotFound = errors.New("no line names this ID")

// Line is one structured line of a daemon.
type Line struct {
	Time    time.Time
	VM      string
	Level   string
	Message string
	Fields  map[string]any // all others
}

// Read takes the lines of one daemon's output. What isn't a structured line is
// counted, not taken.
func Read(in io.Reader) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line, ok := parse(scanner.Text())
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	return lines, skipped, scanner.Err()
}

// maxLineBytes is far above what a daemon writes.
const maxLineBytes = 1 << 20

// parse takes a line that may have a prefix of the log's collector.
func parse(text string) (Line, bool) {
	at := strings.IndexByte(text, '{')
	if at < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if json.Unmarshal([]byte(text[at:]), &fields) != nil {
		return Line{}, false
	}
	l := Line{Fields: fields}
	l.Message = l.move("message")
	l.VM = l.move("vm")
	l.Level = l.move("level")
	when, err := time.Parse(time.RFC3339Nano, l.move("time"))
	if err != nil || l.Message == "" {
		return Line{}, false
	}
	l.Time = when
	return l, true
}

func (l *Line) move(name string) string {
	value, _ := l.Fields[name].(string)
	delete(l.Fields, name)
	return value
}

// Text is a string field, "" if there is none.
func (l *Line) Text(name string) string {
	value, _ := l.Fields[name].(string)
	return value
}

// List returns a field that holds a list of texts.
func (l Line) List(field string) []string {
	values, _ := l.Fields[field].([]any) // a line without it has none
	var out []string
	for _, v := range values {
		out = append(out, fmt.Sprint(v))
	}
	return out
}

// Story is what is known of an ID.
type Story struct {
	ID    string
	Kind  string // request, sample, batch or window
	Lines []Line // its own and those that bear on it, in order of time
	Cause string
}

// idFields are the fields that name what a story can be about.
var idFields = []string{"request", "sample", "batch", "window"}

// keySeparator stands between the customer and the ID of a batch in lines.
const keySeparator = ":"

// names reports whether a field of a line is an ID. A batch is asked for as its trainer
// named it, with or without its customer; a window of usage is a number.
func (l *Line) names(field, id string) bool {
	switch value := l.Fields[field].(type) {
	case string:
		return value == id || field == "batch" && strings.HasSuffix(value, keySeparator+id)
	case float64:
		return strconv.FormatFloat(value, 'f', -1, 64) == id
	}
	return false
}

// Walk collects the story of an ID.
func Walk(lines []Line, id string) (Story, error) {
	s := Story{ID: id}
	var own []Line
	for _, l := range lines {
		for _, field := range idFields {
			if l.names(field, id) {
				s.Kind = field
				own = append(own, l)
				break
			}
		}
	}
	if len(own) == 0 {
		return Story{}, fmt.Errorf("%w: %s", ErrNotFound, id)
	}
	own = append(own, batchOf(lines, own, s.Kind)...)
	s.Lines = append(own, circumstances(lines, own)...)
	slices.SortStableFunc(s.Lines, func(a, b Line) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.VM, b.VM))
	})
	s.Cause = cause(s)
	return s, nil
}

// batchOf returns the lines on a sample's batch as a whole.
func batchOf(lines, own []Line, kind string) []Line {
	if kind != "sample" {
		return nil
	}
	id := own[0].Text("batch")
	var out []Line
	for _, l := range lines {
		if l.Text("batch") == id && l.Text("sample") == "" {
			out = append(out, l)
		}
	}
	return out
}

// bearing are messages without an ID that tell of the VM's or an upstream's state.
var bearing = []string{
	"started", "stopping: not ready any more", "stopped", "settings read again", "store contact changed", "group not reached",
	"partitions owned", "configuration read", "engine is slow, moving samples", "append failed, trying again", "load ended",
	"load for another VM ended", "upstream registered", "upstream removed",
	"turn for the duties changed", "duty not claimed", "duty's call ended", "platform not reached, duty left to others",
	"duties' log not read to its end, nothing is done", "record of the duties not appended",
}

// margin is how long before the first own line circumstances still bear on it.
const margin = 3 * time.Second

// circumstances returns what happened meanwhile on the VMs and upstreams involved.
func circumstances(lines, own []Line) []Line {
	vms, upstreams := map[string]bool{}, map[string]bool{}
	from, to := own[0].Time, own[0].Time
	for _, l := range own {
		vms[l.VM] = true
		if u := l.Text("upstream"); u != "" {
			upstreams[u] = true
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
		u := l.Text("upstream")
		near := vms[l.VM] && u == "" || upstreams[u]
		if near && slices.Contains(bearing, l.Message) && l.Time.After(from.Add(-margin)) && !l.Time.After(to) {
			out = append(out, l)
		}
	}
	return thin(out)
}

// thinning is how long the same message of a VM isn't told again: what retries
// meet during an outage is told once.
const thinning = 5 * time.Second

func thin(lines []Line) []Line {
	told := map[string]time.Time{}
	return slices.DeleteFunc(lines, func(l Line) bool {
		key := fmt.Sprint(l.VM, l.Message, l.Fields["up"], l.Fields["upstream"], l.Fields["generation"])
		if at, ok := told[key]; ok && l.Time.Sub(at) < thinning {
			return true
		}
		told[key] = l.Time
		return false
	})
}

// Write prints the story, one line each, with the fields in order of their names.
func (s Story) Write(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "%s %s\n", s.Kind, s.ID); err != nil {
		return err
	}
	for _, l := range s.Lines {
		if _, err := fmt.Fprintf(w, "%s %-18s %s%s\n", l.Time.UTC().Format("15:04:05.000"), l.VM, l.Message, l.fields(s.ID)); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "cause: %s\n", s.Cause)
	return err
}

// text writes a value; whole numbers keep their digits.
func text(value any) string {
	if n, ok := value.(float64); ok {
		return strconv.FormatFloat(n, 'f', -1, 64)
	}
	return fmt.Sprint(value)
}

func (l *Line) fields(known string) string {
	var out strings.Builder
	names := make([]string, 0, len(l.Fields))
	for name, value := range l.Fields {
		if value != known {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintf(&out, " %s=%s", name, text(l.Fields[name]))
	}
	return out.String()
}
