// This file holds the commands on requests that are held back because replicas end under them.

package main

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"hingewinch.org/hingewinch/daemon/routes"
)

type routerHeldCommand struct{ daemonOptions }

// Execute prints a line for each content that is held back.
func (c *routerHeldCommand) Execute([]string) error {
	w := table()
	defer w.Flush()
	fmt.Fprintln(w, "CONTENT\tWORKSPACE\tLAST END\tREFUSED HERE\tREPLICAS THAT ENDED")
	return c.askAll(func(address string) error {
		var list []routes.HeldAnswer
		if err := ask(address, routes.PathHeld, &list); err != nil {
			return err
		}
		for _, h := range list {
			ended := time.Duration(h.CrashedMS) * time.Millisecond
			fmt.Fprintf(w, "%s\t%s\t%s ago\t%d\t%s\n", h.Content, h.Workspace, ended.Round(time.Second), h.Refused, strings.Join(h.Replicas, ","))
		}
		return nil
	})
}

type routerReleaseCommand struct {
	daemonOptions
	Args struct {
		Content string `positional-arg-name:"CONTENT" required:"yes" description:"as 'held' and the log show it"`
	} `positional-args:"yes"`
}

// Execute lets a content be sent again. One daemon is enough: it passes that on.
func (c *routerReleaseCommand) Execute([]string) error {
	return c.askAll(func(address string) error { return release(address, c.Args.Content) })
}

// release asks one daemon to release a content.
func release(address, content string) error {
	return order(address, routes.PathRelease+"?content="+url.QueryEscape(content))
}

// mostExplanation bounds what is read of a refusal, in bytes.
const mostExplanation = 500

// order asks one daemon to do something. The error gives its explanation.
func order(address, path string) error {
	return call(address, http.MethodPost, path, func(resp *http.Response) error {
		if resp.StatusCode == http.StatusNoContent {
			return nil
		}
		text, err := io.ReadAll(io.LimitReader(resp.Body, mostExplanation))
		if err != nil {
			return eris.Wrapf(err, "daemon %s answered status %d", address, resp.StatusCode)
		}
		return eris.Errorf("daemon %s: %s", address, strings.TrimSpace(string(text)))
	})
}
