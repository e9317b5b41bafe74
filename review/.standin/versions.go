package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of this case, from the start of traffic.
const (
	versionsNew    = 8 * time.Second          // the last replicas of the new version start
	versionsGone   = 9 * time.Second          // the entries of those of the old version go
	versionsKilled = 10500 * time.Millisecond // one daemon is killed
	versionsLeft   = 12500 * time.Millisecond // the replicas of the old version end
	versionsEnd    = 24 * time.Second
	// Of a stream: the number of its events, and the time between two.
	versionsPieces = 50
	versionsGap    = 100 * time.Millisecond
	// versionsTries is how often a client sends a request at most.
	versionsTries = 4
	// mixedMost is how many streams may hold events of two versions.
	mixedMost = 2
)

// playVersions plays the end of a release: the last replicas of the old software version leave without
// saying so, and serve on for some seconds. One daemon is killed meanwhile, and starts again.
func playVersions(p *play) int {
	p.configure(1, route("r-reply", "/reply/", "streaming", "casework-llm", 10000, 400, 2, true))
	begin := func(zone, version string) {
		p.start(&replica{service: "casework-llm", zone: zone, slots: 64, version: version, pieces: versionsPieces, gap: versionsGap})
	}
	for _, zone := range zones {
		begin(zone, "v1")
		begin(zone, "v2")
	}
	if !p.startFleet(3) {
		return cannotRun
	}
	time.Sleep(contact + time.Second)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var (
		wg  sync.WaitGroup
		mu  sync.Mutex
		all []takenUp
	)
	begun := time.Now()
	every(ctx, &wg, 20, func() {
		o := p.clients.sendResumed()
		mu.Lock()
		defer mu.Unlock()
		all = append(all, o)
	})
	at := func(d time.Duration) { time.Sleep(time.Until(begun.Add(d))) }
	at(versionsNew)
	for _, zone := range zones {
		begin(zone, "v2")
	}
	p.record.note("the last three replicas of version v2 have started")
	at(versionsGone)
	old := slices.DeleteFunc(p.all(), func(r *replica) bool { return r.version != "v1" })
	for _, r := range old {
		p.store.Delete("servers/" + r.id)
	}
	p.record.note("the entries of the three replicas of version v1 are gone; they serve on for %v", versionsLeft-versionsGone)
	at(versionsKilled)
	if p.trouble {
		if err := p.fleet.restart(p.fleet.daemons[0], 500*time.Millisecond); err != nil {
			p.record.note("%v", err)
			return cannotRun
		}
	}
	at(versionsLeft)
	for _, r := range old {
		r.crash()
	}
	p.record.note("the replicas of version v1 have ended")
	at(versionsEnd)
	stop()
	wg.Wait()
	complete, resumes, mixed := 0, 0, 0
	for _, o := range all {
		resumes += o.resumes
		if o.complete {
			complete++
		}
		if len(o.versions) > 1 {
			mixed++
			p.record.add("mixed", map[string]any{"stream": o.id, "versions": o.versions, "through": o.through})
		}
	}
	p.record.note("%d streams, %d complete; %d times clients took one up again; %d hold events of two versions, %d are allowed", len(all), complete, resumes, mixed, mixedMost)
	return verdict(complete < 20, mixed > mixedMost)
}

// takenUp is what a client saw of a stream that it takes up again when it breaks off.
type takenUp struct {
	id       string // of the client attempt that brought its first event
	versions []string
	through  []string // the daemons that brought events
	resumes  int
	complete bool
}

// sendResumed sends one stream, and takes it up again at a random daemon when it breaks off.
func (c *clients) sendResumed() (o takenUp) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	end := time.Now().Add(10 * time.Second)
	prompt := fmt.Sprintf("5c1e07a2:800,91bd3f%02x:410,%012x:130", rand.IntN(40), rand.Uint64()>>16)
	last := 0
	for try := range versionsTries {
		left := time.Until(end)
		if left <= 0 {
			return o
		}
		if last > 0 {
			o.resumes++
		}
		retryIn := c.tryResumed(ctx, &o, prompt, &last, try, left)
		if o.complete {
			return o
		}
		pause(min(retryIn, time.Until(end)/3), nil)
	}
	return o
}

func (c *clients) tryResumed(ctx context.Context, o *takenUp, prompt string, last *int, try int, left time.Duration) (retryIn time.Duration) {
	id := fmt.Sprintf("%016x", c.lastID.Add(1))
	d := c.fleet.daemons[rand.IntN(len(c.fleet.daemons))]
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.callers+"/reply/2f", strings.NewReader("request "+prompt))
	if err != nil {
		panic(err)
	}
	req.Host = host
	for name, value := range map[string]string{
		"Attempt-Id": id, "Authorization": "Bearer " + key, "Deadline-Ms": strconv.FormatInt(left.Milliseconds(), 10),
		"Model-Name": "m", "Token-Count": "1400,450", "Prompt-Prefix": prompt,
	} {
		req.Header.Set(name, value)
	}
	if *last > 0 {
		req.Header.Set("Last-Event-Id", strconv.Itoa(*last))
		req.Header.Set("Resumes", o.id)
	}
	c.record.add("sent", map[string]any{"id": id, "to": d.name, "try": try, "last": *last, "resumes": o.id})
	fields := map[string]any{"id": id}
	defer func() {
		fields["last"], fields["complete"] = *last, o.complete
		c.record.add("answered", fields)
	}()
	resp, err := c.http.Do(req)
	if err != nil {
		fields["error"] = err.Error()
		return 0
	}
	defer resp.Body.Close()
	fields["status"] = resp.StatusCode
	if resp.StatusCode != http.StatusOK || resp.Header.Get("Replica-Seal") == "" {
		fields["reason"] = resp.Header.Get("X-Outcome-Reason")
		s, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		return time.Duration(s * float64(time.Second))
	}
	reader := bufio.NewReader(resp.Body)
	for {
		line, err := reader.ReadString('\n')
		if text, ok := strings.CutPrefix(line, "id: "); ok {
			if *last == 0 {
				o.id = id
			}
			*last, _ = strconv.Atoi(strings.TrimSpace(text))
			if len(o.through) == 0 || o.through[len(o.through)-1] != d.name {
				o.through = append(o.through, d.name)
			}
		}
		if _, version, ok := strings.Cut(strings.TrimSpace(line), " by "); ok && !slices.Contains(o.versions, version) {
			o.versions = append(o.versions, version)
		}
		if err != nil {
			o.complete = errors.Is(err, io.EOF) && *last == versionsPieces
			if !errors.Is(err, io.EOF) {
				fields["error"] = err.Error()
			}
			return 0
		}
	}
}
