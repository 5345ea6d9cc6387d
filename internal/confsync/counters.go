package confsync

import "github.com/dogwoodflow/dogwoodflow/internal/metrics"

var (
	countReads            = metrics.Counter("config_reads")
	countReadFailures     = metrics.Counter("config_read_failures")
	countReadsExpired     = metrics.Counter("config_reads_past_retention")
	countPeerStates       = metrics.Counter("config_states_from_peers")
	countAppends          = metrics.Counter("config_appends")
	countAppendsUnknown   = metrics.Counter("config_appends_unknown")
	countSnapshots        = metrics.Counter("config_snapshots")
	countSnapshotFailures = metrics.Counter("config_snapshot_failures")

	gaugeVersion       = metrics.Gauge("config_version")
	gaugeAppliedOffset = metrics.Gauge("config_through")
)
