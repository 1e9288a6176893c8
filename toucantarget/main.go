// Command toucantarget simulates targets for tests: one process serves all the
// replicas in its list, each on a port of its own.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanspec"
	"toucanstair.example/toucantarget/sample"
	"toucanstair.example/toucantarget/toucancorpus"
	"toucanstair.example/toucantarget/toucangroup"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := newCommand().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "toucantarget:", err)
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	var replicas string
	var seed uint64
	c := &cobra.Command{
		Use:           "toucantarget",
		Short:         "Serve simulated replicas with limits, cold start, faults and a ledger",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(c *cobra.Command, _ []string) error {
			return serve(c.Context(), replicas, seed)
		},
	}
	c.Flags().StringVar(&replicas, "replicas", "-", "JSON file with the list of replicas, or - for standard input")
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of the random number generators")
	return c
}

func serve(ctx context.Context, replicas string, seed uint64) error {
	log, err := zap.NewProduction()
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }()
	specs, err := readSpecs(replicas)
	if err != nil {
		return err
	}
	corpus, err := toucancorpus.Load(sample.Files)
	if err != nil {
		return err
	}
	group, err := toucangroup.New(specs, corpus, seed, log)
	if err != nil {
		return err
	}
	addresses, ended, err := group.Start(ctx)
	if err != nil {
		return err
	}
	line, err := json.Marshal(addresses)
	if err != nil {
		return err
	}
	fmt.Println(string(line))
	return <-ended
}

func readSpecs(name string) ([]toucanspec.Replica, error) {
	var b []byte
	var err error
	if name == "-" {
		b, err = io.ReadAll(os.Stdin)
	} else {
		b, err = os.ReadFile(name)
	}
	if err != nil {
		return nil, err
	}
	var specs []toucanspec.Replica
	if err := json.Unmarshal(b, &specs); err != nil {
		return nil, toucanfault.NotRun(toucanpb.Code_CODE_INVALID, "invalid list of replicas in "+name).Because(err)
	}
	return specs, nil
}
