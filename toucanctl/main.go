// Command toucanctl checks and publishes the configuration of toucanstair and
// shows the state of hosts and rollouts.
package main

import (
	"context"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"toucanstair.example/core/toucanstorage"
	"toucanstair.example/toucanctl/toucancli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	c := toucancli.Command{Open: open, Out: os.Stdout, Err: os.Stderr}
	code := c.Run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}

// open returns a client of the platform's store. addresses is a comma-separated
// list of ip:port.
func open(addresses string) (toucancli.Store, error) {
	return toucanstorage.New(strings.Split(addresses, ","), nil), nil
}
