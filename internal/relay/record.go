package relay

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/dogwoodflow/dogwoodflow/internal/registry"
)

// Keys of a shard's records.
const (
	watermarkKey   = "cover"
	configPrefix   = "config/"   // and the chunk's index
	upstreamPrefix = "upstream/" // and the upstream's ID
	daemonPrefix   = "daemon/"   // and the VM's name
)

// Watermark says up to where a shard reflects the platform's topics. It is written with each
// change and, as a heartbeat, every heartbeatInterval.
type Watermark struct {
	// ServersOffset and OperatorOffset are offsets of the platform's topics. The shard reflects
	// all records before them.
	ServersOffset  int64 `cbor:"1,keyasint"`
	OperatorOffset int64 `cbor:"2,keyasint"`
	// DirectReadBytes is what a daemon reads of these topics if it reads them directly, and
	// Daemons the number of daemons.
	DirectReadBytes int `cbor:"3,keyasint"`
	Daemons         int `cbor:"6,keyasint"`
	// AgeMS is the age in milliseconds of the publisher's views of these topics.
	AgeMS int64 `cbor:"4,keyasint"`
}

func (w Watermark) age() time.Duration { return time.Duration(w.AgeMS) * time.Millisecond }

// endpoint is an upstream that takes new work.
type endpoint struct {
	Service    string `cbor:"1,keyasint"`
	Address    string `cbor:"2,keyasint"`
	DataCentre string `cbor:"3,keyasint"`
	Slots      int    `cbor:"4,keyasint,omitempty"`
	Spot       bool   `cbor:"5,keyasint,omitempty"`
	Started    int64  `cbor:"6,keyasint,omitempty"` // Unix ms
}

func endpointOf(u registry.Upstream) endpoint {
	return endpoint{Service: u.Service, Address: u.Address, DataCentre: u.DataCentre, Slots: u.Slots, Spot: u.Spot, Started: u.Started}
}

func (e endpoint) upstream(id string) registry.Upstream {
	return registry.Upstream{
		ID: id, Started: e.Started, Service: e.Service, Address: e.Address, DataCentre: e.DataCentre, Slots: e.Slots, Spot: e.Spot,
		Models: map[string]int64{},
	}
}

// presence is the record by which a daemon says that it runs on a VM.
type presence struct {
	At int64 `cbor:"1,keyasint"` // Unix seconds
}

// chunk is a part of a compressed configuration.
type chunk struct {
	ConfigOffset int64  `cbor:"1,keyasint"` // offset after the configuration's record in the platform's topic
	Index        int    `cbor:"2,keyasint"` // of this chunk
	Count        int    `cbor:"3,keyasint"` // of all chunks
	Data         []byte `cbor:"4,keyasint"`
}

var errMalformed = errors.New("relay: malformed record")

func decode[T any](data []byte) (T, error) {
	var out T
	if err := cbor.Unmarshal(data, &out); err != nil {
		return out, fmt.Errorf("%w: %w", errMalformed, err)
	}
	return out, nil
}

// packConfig compresses a configuration into chunks of at most chunkBytes of data each. offset
// is that after the configuration's record. Routes are much alike, so 80 KB compress to about
// 8 KB.
func packConfig(data []byte, offset int64, chunkBytes int) ([]chunk, error) {
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.DefaultCompression)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	var out []chunk
	for rest := packed.Bytes(); len(rest) > 0; {
		n := min(len(rest), chunkBytes)
		out = append(out, chunk{ConfigOffset: offset, Index: len(out), Data: rest[:n]})
		rest = rest[n:]
	}
	for i := range out {
		out[i].Count = len(out)
	}
	return out, nil
}

// maxConfigBytes limits the size of a decompressed configuration.
const maxConfigBytes = 64 << 20

// unpackConfig reverses packConfig. complete is false while chunks of the newest configuration
// are missing.
func unpackConfig(chunks map[int]chunk) (data []byte, offset int64, complete bool, err error) {
	for _, c := range chunks {
		offset = max(offset, c.ConfigOffset)
	}
	var packed []byte
	count := 1
	for i := 0; i < count; i++ {
		c, known := chunks[i]
		if !known || c.ConfigOffset != offset || c.Index != i {
			return nil, offset, false, nil
		}
		count = c.Count
		packed = append(packed, c.Data...)
	}
	data, err = io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxConfigBytes))
	if err != nil {
		return nil, offset, false, fmt.Errorf("%w: configuration: %w", errMalformed, err)
	}
	return data, offset, true, nil
}

// configKey returns the key of a configuration's chunk.
func configKey(index int) string { return fmt.Sprintf("%s%d", configPrefix, index) }

// idFromKey returns what follows the prefix in a key, false if there is no prefix or nothing
// after it.
func idFromKey(key, prefix string) (string, bool) {
	id, ok := strings.CutPrefix(key, prefix)
	return id, ok && id != ""
}
