// Command hingectl is the command-line tool for operators. It inspects and controls daemons, checks
// configuration files and sends requests.
//
// # Usage
//
//	hingectl check fleet.yaml
//	hingectl diff old.yaml new.yaml
//	hingectl status   --daemon HOST:PORT [--daemon HOST:PORT ...]
//	hingectl engines  --daemon HOST:PORT
//	hingectl chats    --daemon HOST:PORT --workspace W --model M CHAT ...
//	hingectl timeline --daemon HOST:PORT ...
//	hingectl router status|members|replicas|held|admission --daemon HOST:PORT ...
//	hingectl router release --daemon HOST:PORT CONTENT
//	hingectl chat     --gateway URL --key KEY --model M TEXT
//	hingectl once     --gateway URL --key KEY --service S --path /passes BODY
//	hingectl key      [KEY]
//
// Exit codes: 0 success; 1 a file is invalid, a request was refused or a daemon
// could not be reached; 2 the command line is invalid; 3 a request may have run
// and its outcome is unknown.
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
	Version  func()          `long:"version" description:"print the version and exit"`
	Check    checkCommand    `command:"check" description:"validate a configuration file"`
	Diff     diffCommand     `command:"diff" description:"show the changes between two configuration files"`
	Status   statusCommand   `command:"status" description:"show the state of daemons"`
	Engines  enginesCommand  `command:"engines" description:"show the upstreams known to each daemon"`
	Chats    chatsCommand    `command:"chats" description:"show the upstream each chat is routed to"`
	Timeline timelineCommand `command:"timeline" description:"show the merged event timeline of several daemons"`
	Router   routerCommand   `command:"router" description:"commands for daemons that route by host and path"`
	Chat     chatCommand     `command:"chat" description:"send one chat request and stream the response"`
	Once     onceCommand     `command:"once" description:"send one request that must run at most once"`
	Key      keyCommand      `command:"key" description:"generate an API key, or hash an existing one, for the configuration file"`
}

// exitError is an error with the exit code for it. go-flags returns it unchanged from Execute.
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
	var flagsErr *flags.Error
	if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
		fmt.Println(err)
		return 0
	}
	fmt.Fprintln(os.Stderr, err)
	var exitErr *exitError
	switch {
	case errors.As(err, &flagsErr):
		return exitUsage
	case errors.As(err, &exitErr):
		return exitErr.code
	}
	return exitFailed
}
