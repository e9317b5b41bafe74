// This file runs the daemon with the front end that routes by host and path.

package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"reflect"
	"syscall"

	"hingewinch.org/hingewinch/daemon/routes"
	"hingewinch.org/hingewinch/platform"
)

func runRoutes(file string, check bool) int {
	settings, err := routes.LoadSettings(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	if check {
		return 0
	}
	d, err := routes.New(settings, usersPlatform(settings), os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	go reload(ctx, d, file, settings)
	if err := d.Run(ctx); err != nil {
		return exitFailed
	}
	return 0
}

// usersPlatform returns the implementation of the users' platform.
func usersPlatform(s *routes.Settings) routes.Platform {
	return routes.Platform{
		Store: platform.NewStore(s.Store), HistoryGone: platform.ErrHistoryGone,
		Documents: platform.Documents{}, Codec: platform.Codec{}, ReadyPath: platform.PathReady,
		Front: func(d *routes.Daemon) http.Handler {
			return &platform.Front{
				View: d.ViewForCaller, Relay: d.Relay, Stopping: d.Stopping, Denied: d.Log.Denied,
			}
		},
	}
}

// reload checks the settings file after each SIGHUP. Addresses and identity
// can't change while requests are served; a file that differs takes effect at
// the next start, and the log says so.
func reload(ctx context.Context, d *routes.Daemon, file string, running *routes.Settings) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			s, err := routes.LoadSettings(file)
			d.Log.Reloaded(err == nil && !reflect.DeepEqual(s, running), err)
		}
	}
}
