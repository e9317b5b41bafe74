// This file bounds a call by silence and not by its length: a large answer may
// take long on a small link, a peer that says nothing is given up soon.

package transport

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// Patience is how long a caller bears silence.
type Patience struct {
	Answer time.Duration // until the answer begins
	Piece  time.Duration // between two pieces of it
}

// Fetch sends a request and hands the answer to read, whose error it returns. The
// call ends with an error when the other side is silent for longer than the
// patience allows, and when the request's context ends.
func Fetch(client *http.Client, req *http.Request, p Patience, read func(*http.Response) error) error {
	ctx, cancel := context.WithCancel(req.Context())
	defer cancel()
	silence := time.AfterFunc(p.Answer, cancel)
	defer silence.Stop()
	resp, err := client.Do(req.WithContext(ctx))
	if err != nil {
		return eris.Wrap(err, "send request")
	}
	defer resp.Body.Close()
	silence.Reset(p.Piece)
	resp.Body = &patientBody{ReadCloser: resp.Body, silence: silence, patience: p.Piece}
	return read(resp)
}

// patientBody begins the patience anew with each piece.
type patientBody struct {
	io.ReadCloser
	silence  *time.Timer
	patience time.Duration
}

// Read reads a piece.
func (b *patientBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.silence.Reset(b.patience)
	return n, err
}
