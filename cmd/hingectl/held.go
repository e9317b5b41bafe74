// This file implements the commands for quarantined requests, which have crashed replicas.

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

// Execute prints one line per quarantined request content, or part of prompts.
func (c *routerHeldCommand) Execute([]string) error {
	w := newTable()
	defer w.Flush()
	fmt.Fprintln(w, "CONTENT\tKIND\tPART\tWORKSPACE\tLAST END\tREFUSED HERE\tREPLICAS THAT ENDED")
	return c.forEach(func(address string) error {
		var list []routes.HeldAnswer
		if err := fetchJSON(address, routes.PathHeld, &list); err != nil {
			return err
		}
		for _, h := range list {
			sinceCrash := time.Duration(h.CrashedMS) * time.Millisecond
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s ago\t%d\t%s\n", h.Content, h.Kind, h.Part, h.Workspace, sinceCrash.Round(time.Second), h.Refused, strings.Join(h.Replicas, ","))
		}
		return nil
	})
}

type routerReleaseCommand struct {
	daemonOptions
	Args struct {
		Content string `positional-arg-name:"CONTENT" required:"yes" description:"as shown by 'held' and in the log"`
	} `positional-args:"yes"`
}

// Execute releases a content from quarantine. Naming one daemon is enough, because it forwards the
// release to the others.
func (c *routerReleaseCommand) Execute([]string) error {
	return c.forEach(func(address string) error { return release(address, c.Args.Content) })
}

// release asks a daemon to release a content from quarantine.
func release(address, content string) error {
	return post(address, routes.PathRelease+"?content="+url.QueryEscape(content))
}

// maxErrorBody limits how many bytes of an error response are read.
const maxErrorBody = 500

// post sends a command to a daemon. If the daemon refuses it, the error contains the response body.
func post(address, path string) error {
	return do(address, http.MethodPost, path, func(resp *http.Response) error {
		if resp.StatusCode == http.StatusNoContent {
			return nil
		}
		text, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody))
		if err != nil {
			return eris.Wrapf(err, "daemon %s responded with status %d", address, resp.StatusCode)
		}
		return eris.Errorf("daemon %s: %s", address, strings.TrimSpace(string(text)))
	})
}
