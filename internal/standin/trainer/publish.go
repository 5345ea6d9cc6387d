package trainer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/wire"
)

// publishTries bounds how often the weight store is asked.
const publishTries = 100

// learnNewest reads the newest version from the weight store.
func (t *Trainer) learnNewest(ctx context.Context) error {
	if t.options.PublishTo == "" {
		return nil
	}
	list, err := t.store(ctx, http.MethodGet, nil)
	if err != nil {
		return err
	}
	if n := len(list.Versions); n > 0 {
		t.newest.Store(list.Versions[n-1])
	}
	return nil
}

// followTime is the time between two looks at the weight store.
const followTime = 50 * time.Millisecond

// follow keeps up with the weight store until the context ends.
func (t *Trainer) follow(ctx context.Context) {
	for sleep(ctx, followTime) == nil {
		// A store that doesn't answer leaves the trainer with what it knows.
		_ = t.learnNewest(ctx)
	}
}

// publishNext publishes the version that the last step trained. From its
// answer on it is the newest one; a lost answer is made up for by asking again.
func (t *Trainer) publishNext(ctx context.Context) error {
	if t.options.PublishTo == "" {
		return nil
	}
	next := t.newest.Load() + 1
	raw, err := json.Marshal(wire.PublishVersion{Version: next})
	if err != nil {
		return fmt.Errorf("trainer: %w", err)
	}
	if _, err := t.store(ctx, http.MethodPost, raw); err != nil {
		return err
	}
	t.newest.Store(next)
	return nil
}

func (t *Trainer) store(ctx context.Context, method string, body []byte) (wire.VersionList, error) {
	address := t.options.PublishTo + "/v1/models/" + url.PathEscape(t.options.Model) + "/versions"
	var last error
	for range publishTries {
		list, err := storeOnce(ctx, method, address, body)
		if err == nil {
			return list, nil
		}
		last = err
		if err := sleep(ctx, 100*time.Millisecond); err != nil {
			return wire.VersionList{}, err
		}
	}
	return wire.VersionList{}, fmt.Errorf("trainer: weight store: %w", last)
}

func storeOnce(ctx context.Context, method, address string, body []byte) (wire.VersionList, error) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	var list wire.VersionList
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return list, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return list, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return list, fmt.Errorf("%s", response.Status)
	}
	return list, json.NewDecoder(response.Body).Decode(&list)
}
