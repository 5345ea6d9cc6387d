package usage

// WindowCounts is the number of requests that started to run in a window, by customer.
type WindowCounts struct {
	Window int64          `cbor:"1,keyasint"`
	Counts map[string]int `cbor:"2,keyasint"`
}

// Counted is a log record that adds the counts of one daemon.
type Counted struct {
	Writer string `cbor:"1,keyasint"` // unique to one process of a daemon
	// Sequence increases with each of a writer's records. A record whose append got no answer
	// is appended again with the same sequence number, before the writer's next record, and
	// counts once.
	Sequence int64          `cbor:"2,keyasint"`
	Windows  []WindowCounts `cbor:"3,keyasint"`
}

// Decided is a log record that fixes the counts that are reported for a window. The first
// such record of a window is valid, later ones are ignored.
type Decided struct {
	Report WindowCounts `cbor:"1,keyasint"`
}

// Sent is a log record saying that the platform accepted the report of a window.
type Sent struct {
	Window int64 `cbor:"1,keyasint"`
}

// Record is a log record on usage. Exactly one field is set.
type Record struct {
	Counted *Counted `cbor:"1,keyasint,omitempty"`
	Decided *Decided `cbor:"2,keyasint,omitempty"`
	Sent    *Sent    `cbor:"3,keyasint,omitempty"`
}
