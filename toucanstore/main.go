// Command toucanstore simulates the platform's key-value service for tests. It
// keeps everything in memory.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"toucanstair.example/toucanstore/toucankv"
	"toucanstair.example/toucanstore/toucanplatform"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := newCommand().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "toucanstore:", err)
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	var listen string
	c := &cobra.Command{
		Use:           "toucanstore",
		Short:         "Serve an in-memory key-value store with fault switches",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(c *cobra.Command, _ []string) error {
			return serve(c.Context(), listen)
		},
	}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "address of the data API")
	return c
}

func serve(ctx context.Context, listen string) error {
	log, err := zap.NewProduction()
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	store := toucankv.New()
	expired := store.Run(ctx)
	server := &toucanplatform.Server{Store: store, Log: log}
	data, admin, ended, err := server.Start(ctx, listen)
	if err != nil {
		return err
	}
	line, err := json.Marshal(map[string]string{"address": data, "admin": admin})
	if err != nil {
		return err
	}
	fmt.Println(string(line))
	err = <-ended
	stop()
	return errors.Join(err, <-expired)
}
