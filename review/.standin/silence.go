package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"time"
)

// Times of this case, from the start of traffic.
const (
	silenceTerm = 8 * time.Second         // one daemon gets SIGTERM
	silenceFrom = 8500 * time.Millisecond // from here on a sound replica falls silent
	silenceMost = 2 * time.Second         // once it has some streams of that daemon, or at the latest after this
	silenceFor  = 1100 * time.Millisecond
	silenceEnds = 22 * time.Second
	// silenceClients is the number of clients of each daemon. Each keeps its connection.
	silenceClients = 16
)

// playSilence plays a sound replica that falls silent for a second and goes on, while a daemon shuts down. It
// is the only one of its software version.
func playSilence(p *play) int {
	p.configure(1, route("r-reply", "/reply/", "streaming", "casework-llm", 8000, 400, 2, true))
	for i := range 6 {
		p.start(&replica{service: "casework-llm", zone: zones[i%len(zones)], slots: 64, version: "v1"})
	}
	canary := p.start(&replica{service: "casework-llm", zone: zones[0], slots: 64, version: "v2"})
	if !p.startFleet(3) {
		return cannotRun
	}
	time.Sleep(contact + time.Second)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var (
		wg  sync.WaitGroup
		mu  sync.Mutex
		all []keptOutcome
	)
	begun := time.Now()
	for i := range p.fleet.daemons {
		for range silenceClients {
			wg.Go(func() {
				c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}}
				for to := i; ctx.Err() == nil; {
					o := p.clients.sendKept(c, to)
					mu.Lock()
					all = append(all, o)
					mu.Unlock()
					if o.refused { // the platform passes its next connection to another daemon
						to = (to + 1) % len(p.fleet.daemons)
					}
					time.Sleep(rand.N(100 * time.Millisecond))
				}
				c.CloseIdleConnections()
			})
		}
	}
	time.Sleep(time.Until(begun.Add(silenceTerm)))
	d, from := p.fleet.daemons[0], time.Now()
	rolled := make(chan error, 1)
	go func() { rolled <- p.fleet.roll(d) }()
	time.Sleep(time.Until(begun.Add(silenceFrom)))
	streams := canary.awaitStreams(d.ip, 3, silenceMost)
	if p.trouble {
		canary.fallSilent(silenceFor)
		p.record.note("replica %s, the only one of version v2, is silent for %v; it has %d streams of %s", canary.id, silenceFor, streams, d.name)
	}
	err := <-rolled
	until := time.Now()
	time.Sleep(time.Until(begun.Add(silenceEnds)))
	stop()
	wg.Wait()
	if err != nil {
		p.record.note("%v", err)
		return cannotRun
	}
	var sum, there keptTally
	for _, o := range all {
		sum.add(o)
		if o.daemon == 0 && o.ended.After(from) && o.ended.Before(until) {
			there.add(o)
		}
	}
	p.record.note("all streams: %v", sum)
	p.record.note("those of %s that ended between its SIGTERM and its end: %v", d.name, there)
	return verdict(there.complete < 20, there.cutNew+there.cutKept > 0)
}

// keptTally counts streams.
type keptTally struct{ all, complete, refused, failed, cutNew, cutKept int }

func (t *keptTally) add(o keptOutcome) {
	t.all++
	switch {
	case o.complete:
		t.complete++
	case o.refused:
		t.refused++
	case !o.cut:
		t.failed++
	case o.kept:
		t.cutKept++
	default:
		t.cutNew++
	}
}

func (t keptTally) String() string {
	return fmt.Sprintf("%d, of these %d complete, %d answered with a failure, %d not taken; broken off after their first event: %d on new connections, %d on kept ones",
		t.all, t.complete, t.failed, t.refused, t.cutNew, t.cutKept)
}

// keptOutcome is what a client saw of a stream.
type keptOutcome struct {
	kept     bool // it was sent on a connection that had brought an answer before
	daemon   int
	ended    time.Time
	complete bool
	refused  bool // the connection was refused, or closed with the request unread
	cut      bool // the connection was closed after the answer's head and before its end
}

// sendKept sends one stream on the client's connection, and reads it to its end. A client gives a stream up
// after a gap of 2.4 s, eight times the longest pause of its route.
func (c *clients) sendKept(via *http.Client, to int) (o keptOutcome) {
	const gap = 2400 * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	id := fmt.Sprintf("%016x", c.lastID.Add(1))
	d := c.fleet.daemons[to]
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { o.kept = i.Reused }})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.callers+"/reply/2f", strings.NewReader("request "+id))
	if err != nil {
		panic(err)
	}
	req.Host = host
	for name, value := range map[string]string{
		"Attempt-Id": id, "Authorization": "Bearer " + key, "Deadline-Ms": "8000", "Model-Name": "m", "Token-Count": "1400,80",
		"Prompt-Prefix": fmt.Sprintf("5c1e07a2:800,91bd3f%02x:410,%s:130", rand.IntN(40), id[4:]),
	} {
		req.Header.Set(name, value)
	}
	o.daemon = to
	c.record.add("sent", map[string]any{"id": id, "to": d.name})
	fields := map[string]any{"id": id}
	defer func() {
		o.ended = time.Now()
		fields["kept"], fields["complete"], fields["cut"] = o.kept, o.complete, o.cut
		c.record.add("answered", fields)
	}()
	resp, err := via.Do(req)
	if err != nil {
		o.refused = true
		fields["error"] = err.Error()
		return o
	}
	defer resp.Body.Close()
	fields["status"] = resp.StatusCode
	givenUp := time.AfterFunc(gap, cancel)
	defer givenUp.Stop()
	pieces, reader := 0, bufio.NewReader(resp.Body)
	for {
		line, err := reader.ReadString('\n')
		givenUp.Reset(gap)
		if strings.HasPrefix(line, "id: ") {
			pieces++
		}
		if err == nil {
			continue
		}
		fields["pieces"] = pieces
		ended := errors.Is(err, io.EOF)
		o.complete = ended && pieces == events && resp.StatusCode == http.StatusOK && resp.Header.Get("Replica-Seal") != ""
		o.cut = !ended && ctx.Err() == nil
		if !ended {
			fields["error"] = err.Error()
		}
		return o
	}
}
