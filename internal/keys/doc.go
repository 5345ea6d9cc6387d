// Package keys creates the certificate authority and the certificates with which the daemons
// of a small fleet authenticate to each other, and hashes secrets. A fleet that has its own
// certificate authority doesn't need the certificates.
package keys
