// This file implements the commands that query daemons on their operator listeners.

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/transport"
	"hingewinch.org/hingewinch/transport/gateway"
)

const (
	operatorTimeout = 5 * time.Second
	// maxResponseBytes is the maximum size of a response that is decoded, in bytes: 200,000 replicas or more.
	maxResponseBytes = 64 << 20
)

// client is the HTTP client of all commands.
var client = newClient()

func newClient() *http.Client {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.MaxResponseHeaderBytes = transport.MaxHeaderBytes
	return &http.Client{Transport: t}
}

type daemonOptions struct {
	Daemons []string `short:"d" long:"daemon" value-name:"HOST:PORT" required:"yes" description:"operator address of a daemon; may be repeated"`
}

// fetchJSON sends a GET request to a daemon's operator address and decodes the JSON response into into.
func fetchJSON(address, path string, into any) error {
	return do(address, http.MethodGet, path, func(resp *http.Response) error {
		if resp.StatusCode != http.StatusOK {
			return eris.Errorf("daemon %s responded with status %d", address, resp.StatusCode)
		}
		transport.BoundBody(resp, maxResponseBytes)
		return eris.Wrap(json.NewDecoder(resp.Body).Decode(into), "decode the daemon's response")
	})
}

// do sends a request to a daemon's operator address and passes the response to handle.
func do(address, method, path string, handle func(*http.Response) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil {
		return eris.Wrap(err, "build request; check the daemon's address")
	}
	resp, err := client.Do(req)
	if err != nil {
		return eris.Wrapf(err, "daemon %s can't be reached; check its address and that it is running", address)
	}
	defer resp.Body.Close()
	return handle(resp)
}

// forEach calls query for every daemon and prints the errors to standard error. It returns an error if
// any call failed.
func (o *daemonOptions) forEach(query func(address string) error) error {
	var failed error
	for _, address := range o.Daemons {
		if err := query(address); err != nil {
			fmt.Fprintln(os.Stderr, err)
			failed = eris.New("the command failed for at least one daemon")
		}
	}
	return failed
}

// newTable returns a writer that aligns tab-separated columns on standard output.
func newTable() *tabwriter.Writer { return tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0) }

type statusCommand struct{ daemonOptions }

// Execute prints one line per daemon.
func (c *statusCommand) Execute([]string) error {
	w := newTable()
	defer w.Flush()
	fmt.Fprintln(w, "DAEMON\tDOMAIN\tCONFIG\tLIST\tLIST AGE\tREQUESTS\tSTREAMS\tSTATE")
	return c.forEach(func(address string) error {
		var a gateway.StatusAnswer
		if err := fetchJSON(address, gateway.PathStatus, &a); err != nil {
			return err
		}
		stage := "serving"
		if a.Draining {
			stage = "stopping"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%dms\t%d\t%d\t%s\n", a.Daemon, a.Domain, a.Config, a.List, a.ListAgeMS, a.Requests, a.OpenStreams, stage)
		return nil
	})
}

type enginesCommand struct{ daemonOptions }

// Execute prints one line per upstream that a daemon knows.
func (c *enginesCommand) Execute([]string) error {
	w := newTable()
	defer w.Flush()
	fmt.Fprintln(w, "POOL\tUPSTREAM\tDOMAIN\tADDRESS\tGATE\tLOAD")
	return c.forEach(func(address string) error {
		var list []gateway.EngineAnswer
		if err := fetchJSON(address, gateway.PathEngines, &list); err != nil {
			return err
		}
		for _, e := range list {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%.1f\n", e.Pool, e.ID, e.Domain, e.Address, e.Gate, e.Load)
		}
		return nil
	})
}

type chatsCommand struct {
	daemonOptions
	Workspace string `short:"w" long:"workspace" required:"yes" description:"workspace of the chats"`
	Model     string `short:"m" long:"model" required:"yes" description:"model or adapter"`
	Args      struct {
		Chats []string `positional-arg-name:"CHAT" required:"1"`
	} `positional-args:"yes"`
}

// Execute prints, for each daemon and chat, the upstream that the daemon would choose.
func (c *chatsCommand) Execute([]string) error {
	w := newTable()
	defer w.Flush()
	fmt.Fprintln(w, "DAEMON\tCHAT\tUPSTREAM\tADDRESS")
	return c.forEach(func(address string) error {
		for _, chat := range c.Args.Chats {
			q := url.Values{"workspace": {c.Workspace}, "model": {c.Model}, "chat": {chat}}
			var a gateway.PlaceAnswer
			if err := fetchJSON(address, gateway.PathPlace+"?"+q.Encode(), &a); err != nil {
				return err
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", address, chat, a.Upstream, a.Address)
		}
		return nil
	})
}

type timelineCommand struct {
	daemonOptions
	JSON bool     `long:"json" description:"print one JSON object per line"`
	From []string `long:"from" value-name:"FILE" description:"also merge a timeline saved with --json, such as that of a terminated daemon"`
}

// Execute prints the merged event timelines of the daemons and of saved files.
func (c *timelineCommand) Execute([]string) error {
	var timelines [][]coordination.TimelineEvent
	failed := c.forEach(func(address string) error {
		var events []coordination.TimelineEvent
		if err := fetchJSON(address, transport.PathTimeline, &events); err != nil {
			return err
		}
		timelines = append(timelines, events)
		return nil
	})
	for _, file := range c.From {
		events, err := readTimeline(file)
		if err != nil {
			return err
		}
		timelines = append(timelines, events)
	}
	enc := json.NewEncoder(os.Stdout)
	for _, e := range coordination.MergeTimelines(timelines...) {
		if c.JSON {
			_ = enc.Encode(e)
			continue
		}
		fmt.Printf("%s %-8s %-15s %-24s %s\n", e.Stamp, e.Daemon, e.Kind, e.About, e.Text)
	}
	return failed
}

// readTimeline reads a file written by timeline --json.
func readTimeline(file string) ([]coordination.TimelineEvent, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, eris.Wrap(err, "read saved timeline; check the path")
	}
	defer f.Close()
	var events []coordination.TimelineEvent
	for dec := json.NewDecoder(f); dec.More(); {
		var e coordination.TimelineEvent
		if err := dec.Decode(&e); err != nil {
			return nil, eris.Wrapf(err, "decode saved timeline %s; it must have been written with --json", file)
		}
		events = append(events, e)
	}
	return events, nil
}
