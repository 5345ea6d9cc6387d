package infra

import (
	"context"
	"fmt"
	"net/url"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/wire"
)

// HTTPWeightStore is a WeightStore that calls the platform's HTTP API. It is safe for
// concurrent use.
type HTTPWeightStore struct{ client *client }

var _ WeightStore = (*HTTPWeightStore)(nil)

// NewHTTPWeightStore returns a WeightStore for a base URL. It connects at the first call.
func NewHTTPWeightStore(baseURL string, o Options) (*HTTPWeightStore, error) {
	c, err := newClient(baseURL, o)
	if err != nil {
		return nil, err
	}
	return &HTTPWeightStore{c}, nil
}

// Versions returns a model's versions in ascending order.
func (s *HTTPWeightStore) Versions(ctx context.Context, model ident.Model) ([]ident.Version, error) {
	path := "/v1/models/" + url.PathEscape(string(model)) + "/versions"
	var list wire.VersionList
	if err := s.client.getJSON(ctx, path, &list); err != nil {
		return nil, err
	}
	versions, err := ascendingVersions(list.Versions)
	if err != nil {
		return nil, fmt.Errorf("%w: GET %s: %w", ErrUnavailable, path, err)
	}
	return versions, nil
}

// ascendingVersions converts a list of versions. It returns an error if they aren't in
// ascending order, because the last one might not be the newest then.
func ascendingVersions(list []int64) ([]ident.Version, error) {
	versions := make([]ident.Version, 0, len(list))
	last := int64(0)
	for _, v := range list {
		if v <= last {
			return nil, fmt.Errorf("version %d after version %d", v, last)
		}
		versions = append(versions, ident.Version(v))
		last = v
	}
	return versions, nil
}
