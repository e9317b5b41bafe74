// This file carries beats and news between daemons: beats as datagrams, news
// over HTTP.

package routes

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/state/feed"
	"hingewinch.org/hingewinch/transport"
)

const (
	pathNews    = "/news"
	dialTimeout = 300 * time.Millisecond
)

// pullPatience bounds a peer's silence. What a daemon that has just started is
// told may take seconds on a small link.
var pullPatience = transport.Timeouts{FirstByte: 600 * time.Millisecond, Idle: 400 * time.Millisecond}

// peers is the daemon's socket for beats and its client for news.
type peers struct {
	socket  *net.UDPConn
	client  *http.Client
	metrics *Metrics
}

func openPeers(address string, m *Metrics) (*peers, error) {
	at, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", address)
	}
	socket, err := net.ListenUDP("udp4", at)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s; check that the address is this VM's and free", address)
	}
	pool := &http.Transport{
		MaxIdleConnsPerHost: 1, IdleConnTimeout: 5 * time.Second, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext,
	}
	return &peers{socket: socket, client: &http.Client{Transport: pool}, metrics: m}, nil
}

// send sends a datagram; what is lost is made good by the next.
func (p *peers) send(to membership.Address, payload []byte) {
	at, err := netip.ParseAddrPort(string(to))
	if err != nil {
		return
	}
	p.metrics.BeatsSent.Inc(1)
	p.metrics.BeatBytes.Inc(int64(len(payload)))
	_, _ = p.socket.WriteToUDPAddrPort(payload, at)
}

// receive hands beats to the control loop until the socket is closed.
func (p *peers) receive(ctx context.Context, c *control) {
	buf := make([]byte, maxBeatBytes+1)
	for ctx.Err() == nil {
		n, _, err := p.socket.ReadFromUDPAddrPort(buf)
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			pause(ctx, idleCheck)
			continue
		}
		b, err := decodeBeat(buf[:n])
		if err != nil {
			continue
		}
		p.metrics.BeatsHeard.Inc(1)
		c.tell(ctx, heard{beat: b})
	}
}

// pull asks a peer for the documents that changed after a revision.
func (p *peers) pull(ctx context.Context, from membership.Address, after feed.Revision) (News, error) {
	p.metrics.Pulls.Inc(1)
	var n News
	url := "http://" + string(from) + pathNews + "?after=" + strconv.FormatUint(uint64(after), 10)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return n, eris.Wrap(err, "build request for news")
	}
	err = transport.Fetch(p.client, req, pullPatience, func(resp *http.Response) error {
		if resp.StatusCode != http.StatusOK {
			return eris.Errorf("status %d", resp.StatusCode)
		}
		var b bytes.Buffer
		if _, err := b.ReadFrom(io.LimitReader(resp.Body, maxNewsBytes)); err != nil {
			return err
		}
		p.metrics.PulledBytes.Inc(int64(b.Len()))
		n, err = unpackNews(b.Bytes())
		return err
	})
	return n, eris.Wrap(err, "ask for news")
}

// newsHandler answers peers that ask for news.
func newsHandler(c *control) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathNews, func(w http.ResponseWriter, r *http.Request) {
		after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
		if err != nil {
			http.Error(w, "after is not a revision", http.StatusBadRequest)
			return
		}
		answer := make(chan News, 1)
		c.tell(r.Context(), query{run: func(c *control) { answer <- c.news(feed.Revision(after)) }})
		select {
		case n := <-answer:
			payload, err := packNews(&n)
			if err != nil {
				http.Error(w, err.Error(), http.StatusInternalServerError)
				return
			}
			_, _ = w.Write(payload)
		case <-r.Context().Done():
		}
	})
	return mux
}
