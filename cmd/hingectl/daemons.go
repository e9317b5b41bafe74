// This file holds the commands that ask daemons on their operators' listeners.

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

const operatorTimeout = 5 * time.Second

type daemonOptions struct {
	Daemons []string `short:"d" long:"daemon" value-name:"HOST:PORT" required:"yes" description:"operators' address of a daemon; may be given several times"`
}

// ask gets JSON from one daemon.
func ask(address, path string, into any) error {
	return call(address, http.MethodGet, path, func(resp *http.Response) error {
		if resp.StatusCode != http.StatusOK {
			return eris.Errorf("daemon %s answered status %d", address, resp.StatusCode)
		}
		return eris.Wrap(json.NewDecoder(resp.Body).Decode(into), "read the daemon's answer")
	})
}

// call calls the operators' address of a daemon and hands the answer to read.
func call(address, method, path string, read func(*http.Response) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil {
		return eris.Wrap(err, "build request; check the address")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return eris.Wrapf(err, "daemon %s can't be reached; check the address and that it runs", address)
	}
	defer resp.Body.Close()
	return read(resp)
}

// askAll asks every daemon, prints which could not be asked, and fails if any.
func (o *daemonOptions) askAll(one func(address string) error) error {
	var failed error
	for _, address := range o.Daemons {
		if err := one(address); err != nil {
			fmt.Fprintln(os.Stderr, err)
			failed = eris.New("not all daemons could be asked")
		}
	}
	return failed
}

func table() *tabwriter.Writer { return tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0) }

type statusCommand struct{ daemonOptions }

// Execute prints a line for each daemon.
func (c *statusCommand) Execute([]string) error {
	w := table()
	defer w.Flush()
	fmt.Fprintln(w, "DAEMON\tDOMAIN\tCONFIG\tLIST\tLIST AGE\tREQUESTS\tSTREAMS\tSTATE")
	return c.askAll(func(address string) error {
		var a gateway.StatusAnswer
		if err := ask(address, gateway.PathStatus, &a); err != nil {
			return err
		}
		st := "serving"
		if a.Draining {
			st = "stopping"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%dms\t%d\t%d\t%s\n", a.Daemon, a.Domain, a.Config, a.List, a.ListAgeMS, a.Requests, a.OpenStreams, st)
		return nil
	})
}

type enginesCommand struct{ daemonOptions }

// Execute prints a line for each upstream.
func (c *enginesCommand) Execute([]string) error {
	w := table()
	defer w.Flush()
	fmt.Fprintln(w, "POOL\tUPSTREAM\tDOMAIN\tADDRESS\tGATE\tLOAD")
	return c.askAll(func(address string) error {
		var list []gateway.EngineAnswer
		if err := ask(address, gateway.PathEngines, &list); err != nil {
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

// Execute prints where each chat goes, by each daemon.
func (c *chatsCommand) Execute([]string) error {
	w := table()
	defer w.Flush()
	fmt.Fprintln(w, "DAEMON\tCHAT\tUPSTREAM\tADDRESS")
	return c.askAll(func(address string) error {
		for _, chat := range c.Args.Chats {
			q := url.Values{"workspace": {c.Workspace}, "model": {c.Model}, "chat": {chat}}
			var a gateway.PlaceAnswer
			if err := ask(address, gateway.PathPlace+"?"+q.Encode(), &a); err != nil {
				return err
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", address, chat, a.Upstream, a.Address)
		}
		return nil
	})
}

type timelineCommand struct {
	daemonOptions
	JSON bool     `long:"json" description:"print one JSON object a line"`
	From []string `long:"from" value-name:"FILE" description:"merge a time line that was saved with --json, as of a daemon that has ended"`
}

// Execute merges the daemons' rings.
func (c *timelineCommand) Execute([]string) error {
	var rings [][]coordination.TimelineEvent
	failed := c.askAll(func(address string) error {
		var events []coordination.TimelineEvent
		if err := ask(address, transport.PathTimeline, &events); err != nil {
			return err
		}
		rings = append(rings, events)
		return nil
	})
	for _, file := range c.From {
		events, err := savedTimeline(file)
		if err != nil {
			return err
		}
		rings = append(rings, events)
	}
	enc := json.NewEncoder(os.Stdout)
	for _, e := range coordination.MergeTimelines(rings...) {
		if c.JSON {
			_ = enc.Encode(e)
			continue
		}
		fmt.Printf("%s %-8s %-15s %-24s %s\n", e.Stamp, e.Daemon, e.Kind, e.About, e.Text)
	}
	return failed
}

// savedTimeline reads what timeline --json printed.
func savedTimeline(file string) ([]coordination.TimelineEvent, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, eris.Wrap(err, "read saved time line; check the path")
	}
	defer f.Close()
	var events []coordination.TimelineEvent
	for dec := json.NewDecoder(f); dec.More(); {
		var e coordination.TimelineEvent
		if err := dec.Decode(&e); err != nil {
			return nil, eris.Wrapf(err, "read saved time line %s; save it with --json", file)
		}
		events = append(events, e)
	}
	return events, nil
}
