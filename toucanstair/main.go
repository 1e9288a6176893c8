// Command toucanstair runs an entry host of the query tier.
package main

import (
	"os"

	"toucanstair.example/toucanstair/toucancommand"
)

func main() {
	os.Exit(toucancommand.Command{Out: os.Stdout, Err: os.Stderr}.Run(os.Args[1:]))
}
