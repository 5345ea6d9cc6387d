package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/dogwoodflow/dogwoodflow/internal/adminclient"
	"github.com/dogwoodflow/dogwoodflow/internal/httpapi"
)

// rota is the daemons that may answer a read, and the one whose turn it is.
type rota struct {
	clients []*adminclient.Client
	turn    int
	note    func(string) error
}

// daemons returns a rota of all that --url names.
func (g *globals) daemons() (*rota, error) {
	token, err := g.token()
	if err != nil {
		return nil, err
	}
	r := &rota{note: g.note}
	for _, u := range g.urls() {
		client, err := adminclient.New(u, token, g.caFile)
		if err != nil {
			return nil, err
		}
		r.clients = append(r.clients, client)
	}
	return r, nil
}

// ask reads from the daemon whose turn it is, and from the next one when that one
// stops or can't be reached. It fails once each of them did in a row.
func (r *rota) ask(ctx context.Context, read func(*adminclient.Client) (httpapi.ConfigView, error)) (view httpapi.ConfigView, err error) {
	for left := len(r.clients) - 1; ; left-- {
		view, err = read(r.clients[r.turn])
		if err == nil || ctx.Err() != nil || !goneAway(err) {
			return view, err
		}
		if left == 0 {
			return view, err
		}
		r.turn = (r.turn + 1) % len(r.clients)
		if noteErr := r.note(fmt.Sprintf("%v; moving on to %s", err, r.clients[r.turn].Base())); noteErr != nil {
			return view, noteErr
		}
	}
}

// goneAway says that another daemon may answer what this one didn't.
func goneAway(err error) bool {
	var transport *adminclient.TransportError
	return errors.As(err, &transport) || adminclient.StatusOf(err) == http.StatusServiceUnavailable
}
