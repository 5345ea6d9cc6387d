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

// errFences says that an engine carried out orders that it shouldn't have got.
var errFences = errors.New("fences: an old holder's order was carried out, or none was refused")

// fenceCount is what an engine's history says of fencing.
type fenceCount struct {
	numbers int // different fencing numbers, each above those before
	applied int
	refused int // not applied, and below a number seen before
	falls   int // applied, and below a number applied before
}

func countFences(history []engine.OrderEntry) fenceCount {
	var c fenceCount
	var highest int64
	for _, order := range history {
		switch {
		case !order.Applied && order.Fence < highest:
			c.refused++
		case order.Applied && order.Fence < highest:
			c.falls++
		}
		if order.Applied {
			c.applied++
		}
		if order.Fence > highest {
			c.numbers++
			highest = order.Fence
		}
	}
	return c
}

func fencesCommand() *ff.Command {
	fs := ff.NewFlagSet("fences")
	wantRefused := fs.IntLong("want-refused", 0, "orders with an old fencing number that all engines together must have refused")
	return &ff.Command{
		Name:      "fences",
		Usage:     "standin fences [FLAGS] URL ...",
		ShortHelp: "checks from engines' orders that no former holder's order was carried out after a newer one's",
		Flags:     fs,
		Exec: func(ctx context.Context, urls []string) error {
			var sum fenceCount
			for _, url := range urls {
				c, err := fencesOf(ctx, url)
				if err != nil {
					return err
				}
				sum.applied += c.applied
				sum.refused += c.refused
				sum.falls += c.falls
				sum.numbers = max(sum.numbers, c.numbers)
			}
			fmt.Printf("applied=%d numbers=%d refused_old=%d applied_old=%d\n", sum.applied, sum.numbers, sum.refused, sum.falls)
			if sum.falls > 0 || sum.refused < *wantRefused || sum.numbers < 2 {
				return errFences
			}
			return nil
		},
	}
}

func fencesOf(ctx context.Context, url string) (fenceCount, error) {
	var raw bytes.Buffer
	if err := send(ctx, http.MethodGet, url+"/orders", nil, &raw); err != nil {
		return fenceCount{}, err
	}
	var history []engine.OrderEntry
	if err := json.Unmarshal(raw.Bytes(), &history); err != nil {
		return fenceCount{}, fmt.Errorf("%s: %w", url, err)
	}
	return countFences(history), nil
}
