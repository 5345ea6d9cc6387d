package settings

import (
	"os"
	"strings"
)

// minSecretLength, in bytes, excludes secrets that could be guessed.
const minSecretLength = 16

// Secret is a credential. Its formatted and encoded forms hide the value, so that it doesn't
// get into a log, an error or the timeline by accident.
type Secret string

// String hides the value.
func (Secret) String() string { return "[redacted]" }

// GoString hides the value in %#v.
func (Secret) GoString() string { return "[redacted]" }

// MarshalText hides the value in encoded text.
func (Secret) MarshalText() ([]byte, error) { return []byte("[redacted]"), nil }

// readSecret reads a secret from the file if one is named, otherwise from the environment
// variable. Secrets have no flag, since flags are visible in process listings.
func (v *validator) readSecret(to *Secret, setting, file, envVar string) {
	if file == "" {
		*to = Secret(os.Getenv(envVar))
		return
	}
	data, err := os.ReadFile(file)
	if err != nil {
		v.add(setting, file, "must be a file that the daemon can read: "+err.Error())
		return
	}
	*to = Secret(strings.TrimSpace(string(data)))
}
