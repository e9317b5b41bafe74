// Command hingewinchd is the daemon that runs on every entry VM.
//
// # Usage
//
//	hingewinchd --settings /etc/hingewinch/hingewinchd.yaml
//	hingewinchd --front routes
//
// The first form serves the OpenAI protocol. The second routes requests by host and
// path on the users' VMs; its settings file is named by the environment variable
// HINGEWINCH_SETTINGS, unless --settings is given.
//
// SIGTERM or SIGINT starts a graceful shutdown, which waits for the requests in
// flight. Exit codes: 0 after a graceful shutdown, 1 if a server failed, 2 if the
// settings or the command line are invalid.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/phuslu/log"

	"hingewinch.org/hingewinch/daemon"
	"hingewinch.org/hingewinch/daemon/openai"
	"hingewinch.org/hingewinch/transport"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

// settingsVariable is the environment variable that names the settings file if --settings is not given.
const settingsVariable = "HINGEWINCH_SETTINGS"

// frontRoutes is the value of --front for the front end that routes by host and path.
const frontRoutes = "routes"

type options struct {
	Settings string `short:"s" long:"settings" value-name:"FILE" description:"settings file of this daemon (YAML)"`
	Front    string `long:"front" choice:"openai" choice:"routes" default:"openai" description:"front end: OpenAI protocol, or routes by host and path"`
	Check    bool   `long:"check" description:"check the settings file and exit"`
	Version  bool   `long:"version" description:"print the version and exit"`
}

func main() { os.Exit(run()) }

func run() int {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		var flagsErr *flags.Error
		if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
			return 0
		}
		return exitUsage
	}
	if o.Version {
		fmt.Println("hingewinchd", daemon.Version)
		return 0
	}
	if o.Settings == "" {
		o.Settings = os.Getenv(settingsVariable)
	}
	if o.Settings == "" {
		fmt.Fprintln(os.Stderr, "hingewinchd: no settings file; give one with --settings FILE")
		return exitUsage
	}
	if o.Front == frontRoutes {
		return runRoutes(o.Settings, o.Check)
	}
	settings, err := openai.LoadSettings(o.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	if o.Check {
		return 0
	}
	return serve(settings)
}

func serve(settings *openai.Settings) int {
	logger := &log.Logger{Level: log.ParseLevel(settings.LogLevel), Writer: &log.IOWriter{Writer: os.Stderr}}
	d, err := openai.New(settings, logger)
	if err != nil {
		logger.Error().Err(err).Msg(transport.PrefixDaemon + "start failed")
		return exitFailed
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := d.Run(ctx); err != nil {
		logger.Error().Err(err).Msg(transport.PrefixDaemon + "a server failed")
		return exitFailed
	}
	return 0
}
