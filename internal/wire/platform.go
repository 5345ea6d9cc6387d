package wire

// AppendRequest is the body of POST /v1/streams/{stream}/records on the log.
// All records of one call are appended together or not at all.
type AppendRequest struct {
	Records [][]byte `json:"records"`
}

// AppendResponse names the offset of the first record appended.
type AppendResponse struct {
	Offset int64 `json:"offset"`
}

// ReadResponse is the answer to GET /v1/streams/{stream}/records?from=N&max=M&wait_ms=W.
// A from below First is answered with 410 and a ReadResponse without records.
type ReadResponse struct {
	First   int64       `json:"first"` // oldest offset still kept
	Next    int64       `json:"next"`  // offset that the next record will get
	Records []LogRecord `json:"records"`
}

// LogRecord is one record of a stream.
type LogRecord struct {
	Offset     int64  `json:"offset"`
	UnixMillis int64  `json:"unix_millis"`
	Data       []byte `json:"data"`
}

// VersionList is the answer to GET /v1/models/{model}/versions on the weight store.
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
	VMRoleEntry    VMRole = "entry"    // a daemon of ours
	VMRoleUpstream VMRole = "upstream" // an engine, service or scorer
)

// VMList is the answer to GET /v1/vms. It lags.
type VMList struct {
	VMs []VMEntry `json:"vms"`
}

// VMEntry is one VM. For entry VMs PeerAddress is the daemon's peer port; for
// upstream VMs Name is the upstream's name in the configuration.
type VMEntry struct {
	Name        string `json:"name"`
	Role        VMRole `json:"role"`
	DataCentre  string `json:"data_centre"`
	PeerAddress string `json:"peer_address,omitempty"`
	Leaving     bool   `json:"leaving"`
}
