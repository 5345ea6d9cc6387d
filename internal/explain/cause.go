package explain

import (
	"fmt"
	"strings"
	"time"
)

// cause sums a story up in one line.
func cause(s Story) string {
	switch s.Kind {
	case "request":
		return requestCause(s)
	case "sample":
		return sampleCause(s)
	case "window":
		return windowCause(s)
	default:
		return batchCause(s)
	}
}

func requestCause(s Story) string {
	var sends []string
	for _, l := range s.Lines {
		if l.Text("request") != s.ID {
			continue
		}
		switch l.Message {
		case "send failed":
			sends = append(sends, fmt.Sprintf("%s: %s", l.Text("upstream"), l.Text("error")))
		case "upstream refused", "upstream failed the request":
			sends = append(sends, fmt.Sprintf("%s: status %v", l.Text("upstream"), l.Fields["status"]))
		case "no route":
			return fmt.Sprintf("no route for %s%s in configuration %v", l.Text("host"), l.Text("path"), l.Fields["config"])
		case "call refused":
			out := fmt.Sprintf("answered %v (%s) after %v sends", l.Fields["status"], l.Text("reason"), l.Fields["sends"])
			if tried := l.List("tried"); len(tried) > 0 {
				sends = tried // the same sends, each with its load and time
			}
			if len(sends) > 0 {
				out += "; " + strings.Join(sends, "; ")
			}
			return out
		}
	}
	return "answered in the end; " + strings.Join(sends, "; ")
}

func sampleCause(s Story) string {
	runs, broken, last := 0, 0, ""
	calls, noScore, why := 0, 0, ""
	for _, l := range s.Lines {
		if l.Text("sample") != s.ID {
			continue
		}
		switch l.Message {
		case "sample given up":
			return "given up: " + l.Text("why")
		case "reward call ended":
			calls++
			if l.Text("error") != "" {
				noScore++
				why = l.Text("why")
			}
		case "sample run ended":
			runs++
			if why := l.Text("error"); why != "" {
				broken++
				last = fmt.Sprintf("%s on %s after %v events", why, l.Text("upstream"), l.Fields["events"])
			}
		}
	}
	if runs == 0 {
		return "it never ran: see the batch's owner above"
	}
	out := fmt.Sprintf("%d runs, %d broken off", runs, broken)
	if last != "" {
		out += "; the last: " + last
	}
	if calls > 0 {
		out += fmt.Sprintf("; %d reward calls, %d without a score", calls, noScore)
	}
	if why != "" {
		out += ", the last: " + why
	}
	return out
}

// windowCause tells what became of a window's report of usage.
func windowCause(s Story) string {
	lost, tries, last := 0, 0, ""
	for _, l := range s.Lines {
		switch l.Message {
		case "counts lost: too late for their report", "counts lost: the store won't take them":
			lost++
		case "usage reported":
			tries++
			after, _ := l.Fields["after_end"].(float64) // ms; a line without it says 0
			last = fmt.Sprintf("%s by %s, %v requests of %v customers, %.1f s after the window's end", l.Text("outcome"), l.VM,
				l.Fields["requests"], l.Fields["customers"], after/1000)
		}
	}
	out := fmt.Sprintf("%d reports sent", tries)
	if last != "" {
		out += ", the last: " + last
	}
	if lost > 0 {
		out += fmt.Sprintf("; counts of %d appends came too late", lost)
	}
	return out
}

// batchCause names what took a step's time: broken runs by reason, the owners, the
// store, and the sample that ended last.
func batchCause(s Story) string {
	var submitted, ended time.Time
	var final Line
	reasons := map[string]int{}
	owners := map[string]bool{}
	store := 0
	for _, l := range s.Lines {
		switch l.Message {
		case "batch submitted":
			if l.Text("error") != "" {
				reasons["submission: "+firstLine(l.Text("error"))]++
			} else if submitted.IsZero() {
				submitted = l.Time
			}
		case "batch ended by its trainer":
			ended = l.Time
		case "sample run ended":
			owners[l.VM] = true
			final = l
			if why := l.Text("error"); why != "" {
				reasons[firstLine(why)]++
			}
		case "store contact changed":
			if up, _ := l.Fields["up"].(bool); !up {
				store++
			}
		}
	}
	if submitted.IsZero() {
		return "never accepted: " + most(reasons)
	}
	out := fmt.Sprintf("%d owners; the last sample, %s, ended %s after submission", len(owners), final.Text("sample"), final.Time.Sub(submitted).Round(time.Millisecond))
	if !ended.IsZero() {
		out += fmt.Sprintf("; ended after %s", ended.Sub(submitted).Round(time.Millisecond))
	}
	if store > 0 {
		out += fmt.Sprintf("; contact to the store was lost %d times", store)
	}
	if len(reasons) > 0 {
		out += "; most frequent trouble: " + most(reasons)
	}
	return out
}

func firstLine(s string) string {
	line, _, _ := strings.Cut(s, "\n")
	return line
}

// most names the most frequent reason; of equals the first by name.
func most(reasons map[string]int) string {
	best := ""
	for why, n := range reasons {
		if best == "" || n > reasons[best] || n == reasons[best] && why < best {
			best = why
		}
	}
	if best == "" {
		return "none logged"
	}
	return fmt.Sprintf("%s (%d times)", best, reasons[best])
}
