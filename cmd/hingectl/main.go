// Command hingectl is the operators' tool.
//
// # Usage
//
//	hingectl check fleet.yaml
//	hingectl diff old.yaml new.yaml
//	hingectl status   --daemon HOST:PORT [--daemon HOST:PORT ...]
//	hingectl engines  --daemon HOST:PORT
//	hingectl chats    --daemon HOST:PORT --workspace W --model M CHAT ...
//	hingectl timeline --daemon HOST:PORT ...
//	hingectl router status|members|replicas|held --daemon HOST:PORT ...
//	hingectl router release --daemon HOST:PORT CONTENT
//	hingectl chat     --gateway URL --key KEY --model M TEXT
//	hingectl once     --gateway URL --key KEY --service S --path /passes BODY
//	hingectl key      [KEY]
//
// Exit codes: 0 done; 1 a file is not valid, a request was refused or a daemon
// could not be reached; 2 the command line is wrong; 3 a request may have run
// and its end is not known.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"hingewinch.org/hingewinch/daemon"
)

// Exit codes.
const (
	exitFailed  = 1
	exitUsage   = 2
	exitUnknown = 3
)

type options struct {
	Version  func()          `long:"version" description:"print the version and end"`
	Check    checkCommand    `command:"check" description:"check a configuration file as a whole"`
	Diff     diffCommand     `command:"diff" description:"show what a new configuration file changes"`
	Status   statusCommand   `command:"status" description:"show the state of daemons"`
	Engines  enginesCommand  `command:"engines" description:"show the upstreams that a daemon chooses from"`
	Chats    chatsCommand    `command:"chats" description:"show where chats go now"`
	Timeline timelineCommand `command:"timeline" description:"show the merged time line of daemons"`
	Router   routerCommand   `command:"router" description:"ask daemons that route by host and path"`
	Chat     chatCommand     `command:"chat" description:"send one chat and print the answer as it comes"`
	Once     onceCommand     `command:"once" description:"send one request that must not be repeated, safely"`
	Key      keyCommand      `command:"key" description:"make an API key, or hash one, for the configuration file"`
}

// exitError carries an exit code through go-flags.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

func main() { os.Exit(run()) }

func run() int {
	var o options
	o.Version = func() {
		fmt.Println("hingectl", daemon.Version)
		os.Exit(0)
	}
	_, err := flags.NewParser(&o, flags.HelpFlag|flags.PassDoubleDash).Parse()
	if err == nil {
		return 0
	}
	var fe *flags.Error
	if errors.As(err, &fe) && fe.Type == flags.ErrHelp {
		fmt.Println(err)
		return 0
	}
	fmt.Fprintln(os.Stderr, err)
	var xe *exitError
	switch {
	case errors.As(err, &fe):
		return exitUsage
	case errors.As(err, &xe):
		return xe.code
	}
	return exitFailed
}
