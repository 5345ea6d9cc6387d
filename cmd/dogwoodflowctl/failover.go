package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/dogwoodflow/dogwoodflow/internal/adminclient"
	"github.com/dogwoodflow/dogwoodflow/internal/httpapi"
)

// failoverClient reads from one of several daemons, and switches to the next one if it fails.
type failoverClient struct {
	clients   []*adminclient.Client // one per daemon
	current   int                   // index of the daemon to read from
	printNote func(string) error
}

// newFailoverClient returns a client for all daemons that --url names.
func (g *globals) newFailoverClient() (*failoverClient, error) {
	token, err := g.token()
	if err != nil {
		return nil, err
	}
	f := &failoverClient{printNote: g.printNote}
	for _, u := range g.urls() {
		client, err := adminclient.New(u, token, g.caFile)
		if err != nil {
			return nil, err
		}
		f.clients = append(f.clients, client)
	}
	return f, nil
}

// read calls the current daemon, and the next one if that daemon is stopping or can't be reached.
// It returns the last error once every daemon has failed in a row.
func (f *failoverClient) read(ctx context.Context, call func(*adminclient.Client) (httpapi.ConfigView, error)) (view httpapi.ConfigView, err error) {
	for remaining := len(f.clients) - 1; ; remaining-- {
		view, err = call(f.clients[f.current])
		if err == nil || ctx.Err() != nil || !canFailOver(err) {
			return view, err
		}
		if remaining == 0 {
			return view, err
		}
		f.current = (f.current + 1) % len(f.clients)
		if printErr := f.printNote(fmt.Sprintf("%v; moving on to %s", err, f.clients[f.current].Base())); printErr != nil {
			return view, printErr
		}
	}
}

// canFailOver reports whether another daemon may be able to answer after this error.
func canFailOver(err error) bool {
	var transport *adminclient.TransportError
	return errors.As(err, &transport) || adminclient.StatusOf(err) == http.StatusServiceUnavailable
}
