// Package usage counts how many requests of each customer began to run, by windows of
// time, and decides when which window is reported with which counts. It is pure: records,
// views and time go in, counts and reports come out.
//
// # Who holds the truth
//
// Each daemon counts what it sent and appends its counts to the log in small steps, so that
// a daemon's loss takes a moment's counts along and not a window's. A window's report is
// a record too, appended before it is sent for the first time: the first one of a window in
// the log's order counts, whoever wrote it. So a report that is sent again, by the same
// daemon or the next one, has the same counts word for word.
package usage

import "time"

// Windows divides time into windows of one length: window k begins k lengths after the
// beginning of 1970.
type Windows struct{ Length time.Duration }

// Of returns the window of a moment.
func (w Windows) Of(t time.Time) int64 {
	n := t.UnixNano()
	k := n / int64(w.Length)
	if n%int64(w.Length) < 0 {
		k--
	}
	return k
}

// End returns when a window ends.
func (w Windows) End(k int64) time.Time { return time.Unix(0, (k+1)*int64(w.Length)) }
