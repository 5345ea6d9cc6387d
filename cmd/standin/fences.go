package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"github.com/peterbourgon/ff/v4"

	"github.com/dogwoodflow/dogwoodflow/internal/standin/engine"
)

// errFencing: an engine executed an order with an outdated fencing token, or the run didn't
// exercise fencing as expected.
var errFencing = errors.New("fences: an order of a former holder was executed, or fewer were refused or fewer tokens seen than expected")

// fencingCounts summarizes an engine's history of orders with regard to fencing.
type fencingCounts struct {
	tokens   int // distinct fencing tokens, each higher than all before
	applied  int // orders applied
	refused  int // orders not applied whose token is lower than one seen before
	outdated int // orders applied whose token is lower than one seen before
}

func countOrders(history []engine.OrderEntry) fencingCounts {
	var c fencingCounts
	var highestFence int64
	for _, order := range history {
		switch {
		case !order.Applied && order.Fence < highestFence:
			c.refused++
		case order.Applied && order.Fence < highestFence:
			c.outdated++
		}
		if order.Applied {
			c.applied++
		}
		if order.Fence > highestFence {
			c.tokens++
			highestFence = order.Fence
		}
	}
	return c
}

func fencesCommand() *ff.Command {
	fs := ff.NewFlagSet("fences")
	wantRefused := fs.IntLong("want-refused", 0, "minimum number of orders with an outdated fencing token that all engines together must have refused")
	return &ff.Command{
		Name:      "fences",
		Usage:     "standin fences [FLAGS] URL ...",
		ShortHelp: "checks in engines' histories of orders that no order of a former holder was executed after one of a newer holder",
		Flags:     fs,
		Exec: func(ctx context.Context, urls []string) error {
			var sum fencingCounts
			for _, url := range urls {
				c, err := fetchFencingCounts(ctx, url)
				if err != nil {
					return err
				}
				sum.applied += c.applied
				sum.refused += c.refused
				sum.outdated += c.outdated
				sum.tokens = max(sum.tokens, c.tokens)
			}
			fmt.Printf("applied=%d numbers=%d refused_old=%d applied_old=%d\n", sum.applied, sum.tokens, sum.refused, sum.outdated)
			if sum.outdated > 0 || sum.refused < *wantRefused || sum.tokens < 2 {
				return errFencing
			}
			return nil
		},
	}
}

func fetchFencingCounts(ctx context.Context, url string) (fencingCounts, error) {
	var raw bytes.Buffer
	if err := sendRequest(ctx, http.MethodGet, url+"/orders", nil, &raw); err != nil {
		return fencingCounts{}, err
	}
	var history []engine.OrderEntry
	if err := json.Unmarshal(raw.Bytes(), &history); err != nil {
		return fencingCounts{}, fmt.Errorf("%s: %w", url, err)
	}
	return countOrders(history), nil
}
