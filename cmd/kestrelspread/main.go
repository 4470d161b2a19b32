// Command kestrelspread is one aggregator with all its fronts. Without arguments it is what
// kestrellean is; the operator's file switches on the rest. See README.md.
package main

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"kestrelspread/internal/aggregator/extensions"
	"kestrelspread/internal/aggregator/server"
)

func main() {
	if err := rootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "kestrelspread:", err)
		os.Exit(1)
	}
}

func rootCommand() *cobra.Command {
	var operatorFile string
	root := &cobra.Command{
		Use:           "kestrelspread",
		Short:         "One broker: searches in, their parts out to the servers that suit",
		SilenceErrors: true,
		SilenceUsage:  true,
		Args:          cobra.NoArgs,
		RunE:          func(*cobra.Command, []string) error { return serve(operatorFile) },
	}
	root.PersistentFlags().StringVar(&operatorFile, "operator", "",
		"the operator's own file; its form is deploy/operator.schema.json")
	root.AddCommand(&cobra.Command{
		Use:   "check",
		Short: "Say what is wrong with an operator's file, and exit with 1 if anything is",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return check(cmd.OutOrStdout(), operatorFile) },
	})
	return root
}

// serve runs the aggregator until it is stopped; without an operator's file with HTTP alone.
func serve(operatorFile string) error {
	if operatorFile == "" {
		return server.Run(os.Stderr)
	}
	return server.Run(os.Stderr, extensions.Extension(operatorFile))
}

// check reads an operator's file as serve would, and describes what it switches on.
func check(out io.Writer, operatorFile string) error {
	settings, err := server.LoadSettings()
	if err != nil {
		return fmt.Errorf("the broker's settings are needed for the check: %w", err)
	}
	operator, err := extensions.ReadOperatorFile(operatorFile, settings)
	if err != nil {
		return err
	}
	if operator.GRPC != nil {
		fmt.Fprintf(out, "grpc: on, listening on %v, %d routes\n", operator.GRPC.Listen, operator.GRPC.ProxySettings.Routes.Len())
	} else {
		fmt.Fprintln(out, "grpc: off")
	}
	if operator.SheddingWeights != nil {
		fmt.Fprintln(out, "order: refused first, where not all can be taken")
		for i, line := range operator.SheddingWeights.Describe(extensions.QueryTypeAndCustomerNames(settings)) {
			fmt.Fprintf(out, "  %d. %s\n", i+1, line)
		}
	}
	if operator.Ledger != nil {
		fmt.Fprintf(out, "ledger: on, in %s\n", operator.Ledger.Directory)
	}
	return nil
}
