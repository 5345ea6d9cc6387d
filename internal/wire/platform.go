package wire

// AppendRequest is the body of POST /v1/streams/{stream}/records on the log.
// The records are appended all or none.
type AppendRequest struct {
	Records [][]byte `json:"records"`
}

// AppendResponse is the response to an append.
type AppendResponse struct {
	Offset int64 `json:"offset"` // of the first appended record
}

// ReadResponse is the response to GET /v1/streams/{stream}/records?from=N&max=M&wait_ms=W.
// If from is below First, the status is 410 and there are no records.
type ReadResponse struct {
	First   int64       `json:"first"` // oldest offset that is kept
	Next    int64       `json:"next"`  // offset of the next record to be appended
	Records []LogRecord `json:"records"`
}

// LogRecord is one record of a stream.
type LogRecord struct {
	Offset     int64  `json:"offset"`
	UnixMillis int64  `json:"unix_millis"` // time of the append, Unix time in milliseconds
	Data       []byte `json:"data"`
}

// VersionList is the response to GET /v1/models/{model}/versions on the weight store.
type VersionList struct {
	Versions []int64 `json:"versions"` // ascending
}

// PublishVersion is the body of POST /v1/models/{model}/versions.
type PublishVersion struct {
	Version int64 `json:"version"`
}

// VMRole says what runs on a VM.
type VMRole string

// The roles of a VM.
const (
	VMRoleEntry    VMRole = "entry"    // a dogwoodflow daemon
	VMRoleUpstream VMRole = "upstream" // an engine, service or scorer
)

// VMList is the response to GET /v1/vms. It lags behind the state of the VMs.
type VMList struct {
	VMs []VMEntry `json:"vms"`
}

// VMEntry is one VM.
type VMEntry struct {
	Name        string `json:"name"` // of an upstream's VM: the upstream's name in the configuration
	Role        VMRole `json:"role"`
	DataCentre  string `json:"data_centre"`
	PeerAddress string `json:"peer_address,omitempty"` // of a daemon: ip:port for calls by other daemons
	Leaving     bool   `json:"leaving"`                // the VM will be removed
}
