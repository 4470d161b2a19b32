// Command simhost runs the aggregator's decisions against simulated servers: internal/simwire's
// messages come in by standard input, and its answers leave by standard output.
package main

import (
	"fmt"
	"os"

	"kestrelspread/internal/simwire"
)

func main() {
	if err := simwire.Run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}
