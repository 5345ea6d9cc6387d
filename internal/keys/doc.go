// Package keys makes the authority and the certificates that the daemons of a
// small fleet prove themselves with to each other. A fleet with an authority of
// its own needs none of it.
package keys
