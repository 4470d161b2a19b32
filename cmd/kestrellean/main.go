// Command kestrellean is the aggregator for platforms where memory is short: HTTP and frames alone. It
// links neither gRPC nor anything else that only other installations need; docs/design/grpc.md has
// what that saves.
package main

import (
	"fmt"
	"os"

	"kestrelspread/internal/aggregator/server"
)

func main() {
	if err := server.Run(os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "kestrelspread:", err)
		os.Exit(1)
	}
}
