// Command standin2 plays one case of the second review: stand-ins of the platform's store,
// of replicas and of clients, and the project's entry hosts as processes.
package main

import (
	"errors"
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitCant   = 2
)

// cases returns whether the rule held.
var cases = map[string]func(rec *record, trouble bool) (bool, error){
	"restore":  runRestore,
	"rollout":  runRollout,
	"mixed":    runMixed,
	"refused":  runRefused,
	"failback": runFailback,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		os.Exit(exitCant)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCant)
	}
	held, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		if !errors.Is(err, errCantRun) {
			err = fmt.Errorf("%w: %w", errCantRun, err)
		}
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCant)
	case !held:
		fmt.Println("the rule was broken")
		os.Exit(exitBroken)
	}
	fmt.Println("the rule held")
	os.Exit(exitHeld)
}
