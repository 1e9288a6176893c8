// Command toucanctl is the operators' tool.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/toucanctl/toucanoperator"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	c := toucanoperator.Command{Open: open, Out: os.Stdout, Err: os.Stderr}
	code := c.Run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}

// open is where the client of the platform's store is connected.
func open(string) (toucanoperator.Store, error) {
	return nil, toucanfault.NotRun(toucanpb.Code_CODE_STORE, "this build has no store client")
}
