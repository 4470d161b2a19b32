// Command simhost runs the aggregator's policy in a simulation: it reads the bench's frames of events
// from standard input and writes those of its decisions to standard output.
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
