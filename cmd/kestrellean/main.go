// Command kestrellean is the broker for platforms where memory is short: HTTP and frames alone. It links neither gRPC
// nor anything that only further installations need (docs/design/grpc.md tells what that saves).
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
