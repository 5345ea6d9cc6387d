package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/policy"
)

// InvalidSetting is a setting with an invalid value.
type InvalidSetting struct {
	Name  string // of its flag, without dashes
	Value string
	Rule  string // the rule that the value violates, as in "must be ..."
}

// InvalidError lists all invalid settings.
type InvalidError struct{ Settings []InvalidSetting }

// Error returns a line for each invalid setting.
func (e *InvalidError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d invalid setting(s):", len(e.Settings))
	for _, s := range e.Settings {
		fmt.Fprintf(&b, "\n  --%s: %q: %s", s.Name, s.Value, s.Rule)
	}
	return b.String()
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

const (
	nameRule    = "must be 1 to 63 characters from a-z 0-9 . _ - and begin with a letter or digit"
	addressRule = "must be an IP address and a port, as in 127.0.0.1:8080"
	urlRule     = "must be an http or https URL, as in http://127.0.0.1:9000"
)

// Validate checks all settings of a daemon outside the platform. The error is an
// *InvalidError.
func (d *Daemon) Validate() error {
	v := validator{invalid: slices.Clone(d.invalidFiles)}
	v.name("vm", string(d.VM))
	v.name("data-centre", string(d.DataCentre))
	v.addresses(d)
	v.url("log-url", d.LogURL)
	v.url("weights-url", d.WeightsURL)
	v.url("vm-list-url", d.VMListURL)
	v.secret("admin-token-file", d.AdminToken)
	v.secret("peer-token-file", d.PeerToken)
	v.duration("request-timeout", d.RequestTimeout, time.Second, time.Hour)
	v.duration("drain-delay", d.DrainDelay, 0, time.Minute)
	v.duration("drain-timeout", d.DrainTimeout, time.Second, time.Hour)
	v.duration("log-retention", d.LogRetention, time.Second, 10*365*24*time.Hour)
	v.oneOf("policy", d.Policy, PolicyFull, PolicyNaive)
	v.oneOf("log-format", d.LogFormat, "json", "console")
	v.oneOf("log-level", d.LogLevel, "debug", "info", "warn", "error")
	return v.result()
}

// validateOnPlatform checks the settings that apply on the platform in addition to its
// settings file.
func (d *Daemon) validateOnPlatform() error {
	v := validator{}
	v.oneOf("policy", d.Policy, PolicyFull, PolicyNaive)
	if _, err := policy.Parse(d.DisabledMechanisms); err != nil {
		v.add("without", d.DisabledMechanisms, err.Error())
	}
	v.oneOf("log-level", d.LogLevel, "debug", "info", "warn", "error")
	if _, err := netip.ParseAddrPort(d.MetricsAddress); d.MetricsAddress != "" && err != nil {
		v.add("metrics-address", d.MetricsAddress, addressRule)
	}
	return v.result()
}

// result returns an *InvalidError, or nil if no setting is invalid.
func (v *validator) result() error {
	if len(v.invalid) == 0 {
		return nil
	}
	return &InvalidError{Settings: v.invalid}
}

// validator collects invalid settings.
type validator struct{ invalid []InvalidSetting }

func (v *validator) add(setting, value, rule string) {
	v.invalid = append(v.invalid, InvalidSetting{setting, value, rule})
}

// isInvalid reports whether a setting has already been found invalid.
func (v *validator) isInvalid(setting string) bool {
	return slices.ContainsFunc(v.invalid, func(s InvalidSetting) bool { return s.Name == setting })
}

func (v *validator) name(setting, value string) {
	if !namePattern.MatchString(value) {
		v.add(setting, value, nameRule)
	}
}

// addresses checks the addresses of all ports and peers. It rejects an address that two
// ports share, since the second port would fail to open only after the first had started to
// accept requests.
func (v *validator) addresses(d *Daemon) {
	seen := map[string]string{}
	addresses := []struct{ setting, value string }{
		{"caller-address", d.CallerAddress},
		{"trainer-address", d.TrainerAddress},
		{"admin-address", d.AdminAddress},
		{"peer-address", d.PeerAddress},
	}
	for _, a := range addresses {
		v.address(a.setting, a.value)
		if first, ok := seen[a.value]; ok {
			v.add(a.setting, a.value, "is already taken by --"+first)
		}
		seen[a.value] = a.setting
	}
	v.address("peer-advertise", d.PeerAdvertise)
	for _, s := range d.PeerSeeds {
		v.address("peer-seeds", s)
	}
}

func (v *validator) address(setting, value string) {
	ap, err := netip.ParseAddrPort(value)
	if err != nil || ap.Port() == 0 {
		v.add(setting, value, addressRule)
	}
}

func (v *validator) url(setting, value string) {
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		v.add(setting, value, urlRule)
	}
}

func (v *validator) secret(setting string, s Secret) {
	if len(s) < minSecretLength && !v.isInvalid(setting) {
		v.add(setting, s.String(), fmt.Sprintf("must name a file with a secret of at least %d characters, or the environment variable must hold one", minSecretLength))
	}
}

func (v *validator) duration(setting string, value, low, high time.Duration) {
	if value < low || value > high {
		v.add(setting, value.String(), fmt.Sprintf("must be from %s to %s", low, high))
	}
}

func (v *validator) oneOf(setting, value string, allowed ...string) {
	for _, a := range allowed {
		if value == a {
			return
		}
	}
	v.add(setting, value, "must be one of "+strings.Join(allowed, ", "))
}
