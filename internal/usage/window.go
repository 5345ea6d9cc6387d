// Package usage counts how many requests of each customer started to run in each time
// window, and decides when a window is reported and with which counts. It does no I/O:
// log records, the state and the time are inputs, counts and reports are outputs.
//
// # Consistency of reports
//
// Each daemon counts the requests that it sent and appends its counts to the log at short
// intervals, so that a daemon that dies loses a moment's counts and not a window's. The
// report of a window is also a record, appended before the report is sent for the first
// time. If the log has several reports of a window, the first in the log's order is valid,
// whichever daemon appended it. A report that is sent again, by the same daemon or by its
// successor, therefore has exactly the same counts.
package usage

import "time"

// Windows divides time into windows of equal length. Window k starts k lengths after the
// start of 1970, the Unix epoch.
type Windows struct{ Length time.Duration }

// IndexAt returns the number of the window that contains t.
func (w Windows) IndexAt(t time.Time) int64 {
	n := t.UnixNano()
	k := n / int64(w.Length)
	if n%int64(w.Length) < 0 {
		k--
	}
	return k
}

// End returns when window k ends.
func (w Windows) End(k int64) time.Time { return time.Unix(0, (k+1)*int64(w.Length)) }
