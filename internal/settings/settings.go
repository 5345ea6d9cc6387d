// Package settings parses the daemon's settings from flags and environment variables, and
// validates all of them before any port opens.
package settings

import (
	"crypto/tls"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// EnvPrefix is the prefix of the names of the daemon's environment variables.
const EnvPrefix = "DOGWOODFLOW"

// HelpError is returned if the arguments ask for help. Text is the help.
type HelpError struct{ Text string }

// Error returns the help text.
func (e *HelpError) Error() string { return e.Text }

// The dispatch policies.
const (
	PolicyFull  = "ours"
	PolicyNaive = "naive" // baseline for benchmarks: round robin without limits
)

// Daemon holds all settings of dogwoodflowd.
type Daemon struct {
	VM         ident.VM
	DataCentre ident.DataCentre

	CallerAddress  string   // ip:port of the production API
	TrainerAddress string   // ip:port of the trainers' API
	AdminAddress   string   // ip:port of the administration API
	PeerAddress    string   // ip:port other daemons connect to
	PeerAdvertise  string   // ip:port that other daemons dial; PeerAddress by default
	PeerSeeds      []string // ip:port of some other daemons, in addition to the VM list

	LogURL     string // base URL of the platform's log
	WeightsURL string // base URL of the platform's weight store
	VMListURL  string // base URL of the platform's VM list

	TLSCertFile string // PEM; with TLSKeyFile, the three HTTP ports serve TLS
	TLSKeyFile  string // PEM

	PeerIdentity *PeerIdentity // nil if peer connections are not encrypted

	AdminToken Secret
	PeerToken  Secret // that all daemons share

	RequestTimeout time.Duration // longest duration of a caller's request
	DrainDelay     time.Duration // from reporting "not ready" to closing the ports
	DrainTimeout   time.Duration // longest duration of a graceful shutdown
	LogRetention   time.Duration // how long the platform's log keeps records
	Policy         string        // PolicyFull or PolicyNaive
	// DisabledMechanisms is a comma-separated list of package policy's mechanisms that are
	// switched off. It applies on the platform only.
	DisabledMechanisms string
	LogFormat          string // "json" or "console"
	LogLevel           string // "debug", "info", "warn" or "error"
	PrintVersion       bool

	// BootFile is the path of the platform's settings file. If it is set, the daemon runs on
	// the platform, where besides it only Policy, DisabledMechanisms, LogLevel and
	// MetricsAddress apply.
	BootFile       string
	MetricsAddress string // ip:port of the metrics on the platform, "" if they aren't served

	adminTokenFile, peerTokenFile string
	peerCertFile, peerKeyFile     string
	peerCAFile                    string
	peerSeeds                     string
	certificate                   *tls.Certificate
	invalidFiles                  []InvalidSetting // whose files Parse could not use
}

// Parse reads the settings from flags and environment variables and validates them. The
// error is an *InvalidError that lists all invalid settings, a *HelpError, or that of a flag
// which can't be parsed. With --version nothing is validated.
func Parse(args []string) (*Daemon, error) {
	d := &Daemon{}
	fs := d.flags()
	err := ff.Parse(fs, args, ff.WithEnvVarPrefix(EnvPrefix))
	if errors.Is(err, ff.ErrHelp) {
		return nil, &HelpError{Text: fmt.Sprintf("%s%s", ffhelp.Flags(fs), secretsHelp)}
	}
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if d.PrintVersion {
		return d, nil
	}
	if d.BootFile != "" {
		return d, d.validateOnPlatform()
	}
	d.loadFiles()
	d.setDerived()
	return d, d.Validate()
}

const secretsHelp = `
Every flag has an environment variable: --log-url is DOGWOODFLOW_LOG_URL.
Secrets come from the files above or from the environment variables
DOGWOODFLOW_ADMIN_TOKEN and DOGWOODFLOW_PEER_TOKEN, never from a flag.
`

func (d *Daemon) flags() *ff.FlagSet {
	fs := ff.NewFlagSet("dogwoodflowd")
	fs.StringVar((*string)(&d.VM), 0, "vm", "", "name of this VM, unique in the fleet (required)")
	fs.StringVar((*string)(&d.DataCentre), 0, "data-centre", "", "data centre of this VM (required)")
	fs.StringVar(&d.CallerAddress, 0, "caller-address", "127.0.0.1:8080", "ip:port for production callers")
	fs.StringVar(&d.TrainerAddress, 0, "trainer-address", "127.0.0.1:8081", "ip:port for trainers")
	fs.StringVar(&d.AdminAddress, 0, "admin-address", "127.0.0.1:8082", "ip:port for administration and metrics")
	fs.StringVar(&d.PeerAddress, 0, "peer-address", "127.0.0.1:8083", "ip:port for other daemons")
	fs.StringVar(&d.PeerAdvertise, 0, "peer-advertise", "", "ip:port that other daemons dial (default: --peer-address)")
	fs.StringVar(&d.peerSeeds, 0, "peer-seeds", "", "comma-separated ip:port of some other daemons, used in addition to the VM list")
	fs.StringVar(&d.LogURL, 0, "log-url", "", "base URL of the platform's log (required)")
	fs.StringVar(&d.WeightsURL, 0, "weights-url", "", "base URL of the platform's weight store (required)")
	fs.StringVar(&d.VMListURL, 0, "vm-list-url", "", "base URL of the platform's VM list (required)")
	fs.StringVar(&d.TLSCertFile, 0, "tls-cert-file", "", "PEM certificate chain of the caller, trainer and admin ports (default: plain HTTP)")
	fs.StringVar(&d.TLSKeyFile, 0, "tls-key-file", "", "PEM private key of --tls-cert-file")
	fs.StringVar(&d.peerCertFile, 0, "peer-cert-file", "", "PEM certificate chain of this VM for the peer port, naming --vm (default: peer connections are not encrypted)")
	fs.StringVar(&d.peerKeyFile, 0, "peer-key-file", "", "PEM private key of --peer-cert-file")
	fs.StringVar(&d.peerCAFile, 0, "peer-ca-file", "", "PEM certificates of the authorities that sign the peers' certificates")
	fs.StringVar(&d.adminTokenFile, 0, "admin-token-file", "", "file with the administrator's token")
	fs.StringVar(&d.peerTokenFile, 0, "peer-token-file", "", "file with the token that all daemons share")
	fs.DurationVar(&d.RequestTimeout, 0, "request-timeout", 2*time.Minute, "longest time a caller's request may take")
	fs.DurationVar(&d.DrainDelay, 0, "drain-delay", time.Second, "time between reporting 'not ready' and closing the ports in a graceful shutdown")
	fs.DurationVar(&d.DrainTimeout, 0, "drain-timeout", 10*time.Minute, "longest time a graceful shutdown may take")
	fs.DurationVar(&d.LogRetention, 0, "log-retention", 24*time.Hour, "how long the platform's log keeps records")
	fs.StringVar(&d.Policy, 0, "policy", PolicyFull, "dispatch policy: ours, or naive (baseline for benchmarks)")
	fs.StringVar(&d.DisabledMechanisms, 0, "without", "", "comma-separated mechanisms to switch off for a measurement; on the platform only")
	fs.StringVar(&d.LogFormat, 0, "log-format", "json", "json or console")
	fs.StringVar(&d.LogLevel, 0, "log-level", "info", "debug, info, warn or error")
	fs.StringVar(&d.BootFile, 0, "boot", "", "settings file of the platform; the daemon runs there and uses only --policy, --without, --log-level and --metrics-address besides it")
	fs.StringVar(&d.MetricsAddress, 0, "metrics-address", "", "ip:port for metrics as text; on the platform only")
	fs.BoolVar(&d.PrintVersion, 0, "version", "print the version and exit")
	return fs
}

// loadFiles reads the files that settings name. Validate reports those that can't be used
// along with all other invalid settings.
func (d *Daemon) loadFiles() {
	v := validator{}
	v.readSecret(&d.AdminToken, "admin-token-file", d.adminTokenFile, EnvPrefix+"_ADMIN_TOKEN")
	v.readSecret(&d.PeerToken, "peer-token-file", d.peerTokenFile, EnvPrefix+"_PEER_TOKEN")
	d.invalidFiles = slices.Concat(v.invalid, d.loadCertificate(), d.loadPeerIdentity(time.Now()))
}

// setDerived sets the fields that are derived from other settings.
func (d *Daemon) setDerived() {
	if d.PeerAdvertise == "" {
		d.PeerAdvertise = d.PeerAddress
	}
	for seed := range strings.SplitSeq(d.peerSeeds, ",") {
		if seed = strings.TrimSpace(seed); seed != "" {
			d.PeerSeeds = append(d.PeerSeeds, seed)
		}
	}
}
