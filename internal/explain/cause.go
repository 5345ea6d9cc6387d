package explain

import (
	"fmt"
	"strings"
	"time"
)

// cause summarizes an explanation's lines in one line.
func cause(e Explanation) string {
	switch e.Kind {
	case "request":
		return requestCause(e)
	case "sample":
		return sampleCause(e)
	case "window":
		return windowCause(e)
	default:
		return batchCause(e)
	}
}

// requestCause names the response that the caller got and the sends that failed.
func requestCause(e Explanation) string {
	var failedSends []string
	for _, l := range e.Lines {
		if l.Text("request") != e.ID {
			continue
		}
		switch l.Message {
		case "send failed":
			failedSends = append(failedSends, fmt.Sprintf("%s: %s", l.Text("upstream"), l.Text("error")))
		case "upstream refused", "upstream failed the request":
			failedSends = append(failedSends, fmt.Sprintf("%s: status %v", l.Text("upstream"), l.Fields["status"]))
		case "no route":
			return fmt.Sprintf("no route for %s%s in configuration %v", l.Text("host"), l.Text("path"), l.Fields["config"])
		case "call not admitted":
			return admissionCause(l)
		case "call refused":
			out := fmt.Sprintf("answered %v (%s) after %v sends", l.Fields["status"], l.Text("reason"), l.Fields["sends"])
			if tried := l.List("tried"); len(tried) > 0 {
				failedSends = tried // the same sends, with the load and the duration of each
			}
			if len(failedSends) > 0 {
				out += "; " + strings.Join(failedSends, "; ")
			}
			return out
		}
	}
	return "answered in the end; " + strings.Join(failedSends, "; ")
}

// admissionCause names the inputs of the decision to refuse a call: the customer, the
// priority, the admitted fractions, the queue time and the demand that the fractions are
// computed from.
func admissionCause(l Line) string {
	customer := l.Text("customer")
	if customer == "" {
		customer = "none"
	}
	priority := fmt.Sprint(l.Fields["priority"])
	if late, _ := l.Fields["late"].(bool); late {
		priority += ", late for its latency target"
	}
	queueTime := "unknown"
	if known, _ := l.Fields["queue_known"].(bool); known {
		queueTime = fmt.Sprintf("%.1f ms (%.0f ms old)", l.number("queue"), l.number("queue_age"))
	}
	out := fmt.Sprintf("answered %v before any send (not admitted: %s); customer %s, priority %s; admitted: %.1f%% of its calls, %.1f%% of all",
		l.Fields["status"], l.Text("reason"), customer, priority, 100*l.number("fraction"), 100*l.number("total"))
	out += fmt.Sprintf(" (by the %s demand, %.0f ms old); queue time %s, %.0f ms left",
		map[string]string{"fleet": "fleet's", "own": "daemon's own"}[l.Text("source")], l.number("source_age"), queueTime, l.number("left"))
	if after := l.number("retry_after"); after > 0 {
		return out + fmt.Sprintf("; to retry after %.0f ms", after)
	}
	return out + "; no retry could be served"
}

// sampleCause names why a sample was given up, or else how many of its runs and reward
// calls failed, with the last error of each.
func sampleCause(e Explanation) string {
	runs, failedRuns, lastFailure := 0, 0, ""
	rewardCalls, unscored, lastReason := 0, 0, ""
	for _, l := range e.Lines {
		if l.Text("sample") != e.ID {
			continue
		}
		switch l.Message {
		case "sample given up":
			return "given up: " + l.Text("why")
		case "reward call ended":
			rewardCalls++
			if l.Text("error") != "" {
				unscored++
				lastReason = l.Text("why")
			}
		case "sample run ended":
			runs++
			if why := l.Text("error"); why != "" {
				failedRuns++
				lastFailure = fmt.Sprintf("%s on %s after %v events", why, l.Text("upstream"), l.Fields["events"])
			}
		}
	}
	if runs == 0 {
		return "it never ran: see the lines of the batch's owner above"
	}
	out := fmt.Sprintf("%d runs, %d broken off", runs, failedRuns)
	if lastFailure != "" {
		out += "; the last: " + lastFailure
	}
	if rewardCalls > 0 {
		out += fmt.Sprintf("; %d reward calls, %d without a score", rewardCalls, unscored)
	}
	if lastReason != "" {
		out += ", the last: " + lastReason
	}
	return out
}

// windowCause names the outcome of the last usage report of a window, and how many
// appends came too late for it.
func windowCause(e Explanation) string {
	lateAppends, reports, lastReport := 0, 0, ""
	for _, l := range e.Lines {
		switch l.Message {
		case "counts lost: too late for their report", "counts lost: the store won't take them":
			lateAppends++
		case "usage reported":
			reports++
			afterEndMS, _ := l.Fields["after_end"].(float64) // 0 if the line has no such field
			lastReport = fmt.Sprintf("%s by %s, %v requests of %v customers, %.1f s after the window's end", l.Text("outcome"), l.VM,
				l.Fields["requests"], l.Fields["customers"], afterEndMS/1000)
		}
	}
	out := fmt.Sprintf("%d reports sent", reports)
	if lastReport != "" {
		out += ", the last: " + lastReport
	}
	if lateAppends > 0 {
		out += fmt.Sprintf("; counts of %d appends came too late", lateAppends)
	}
	return out
}

// batchCause names what delayed a batch: the number of owners, the sample that ended
// last, lost contacts to the store, and the most frequent error.
func batchCause(e Explanation) string {
	var submitted, ended time.Time
	var lastRun Line
	reasons := map[string]int{}
	owners := map[string]bool{}
	contactLosses := 0
	for _, l := range e.Lines {
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
			lastRun = l
			if why := l.Text("error"); why != "" {
				reasons[firstLine(why)]++
			}
		case "results not given":
			reasons["reading results, stage "+l.Text("stage")+": "+firstLine(l.Text("error"))]++
		case "store contact changed":
			if inContact, _ := l.Fields["up"].(bool); !inContact {
				contactLosses++
			}
		}
	}
	if submitted.IsZero() {
		return "never accepted: " + mostFrequent(reasons)
	}
	out := fmt.Sprintf("%d owners; the last sample, %s, ended %s after submission", len(owners), lastRun.Text("sample"), lastRun.Time.Sub(submitted).Round(time.Millisecond))
	if !ended.IsZero() {
		out += fmt.Sprintf("; ended after %s", ended.Sub(submitted).Round(time.Millisecond))
	}
	if contactLosses > 0 {
		out += fmt.Sprintf("; contact to the store was lost %d times", contactLosses)
	}
	if len(reasons) > 0 {
		out += "; most frequent trouble: " + mostFrequent(reasons)
	}
	return out
}

func firstLine(s string) string {
	line, _, _ := strings.Cut(s, "\n")
	return line
}

// mostFrequent returns the reason with the highest count, and that count. Of several such
// reasons it returns the first by name.
func mostFrequent(reasons map[string]int) string {
	best := ""
	for reason, n := range reasons {
		if best == "" || n > reasons[best] || n == reasons[best] && reason < best {
			best = reason
		}
	}
	if best == "" {
		return "none logged"
	}
	return fmt.Sprintf("%s (%d times)", best, reasons[best])
}
