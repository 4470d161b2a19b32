// Command kestrelspread is one broker with all its fronts. Without arguments it is what kestrellean is; the operator's
// file switches on the rest. See README.md.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"kestrelspread/internal/aggregator/server"
	"kestrelspread/internal/aggregator/server/full"
)

func main() {
	if err := command().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "kestrelspread:", err)
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var file string
	root := &cobra.Command{Use: "kestrelspread", Short: "One broker: searches in, their parts out to the servers that suit",
		SilenceErrors: true, SilenceUsage: true, Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if file == "" {
				return server.Run(os.Stderr)
			}
			return server.Run(os.Stderr, full.Extension(file))
		}}
	root.PersistentFlags().StringVar(&file, "operator", "", "the operator's own file; its form is deploy/operator.schema.json")
	root.AddCommand(&cobra.Command{Use: "check", Short: "Say what is wrong with an operator's file, and exit with 1 if anything is",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			set, err := server.Settings()
			if err != nil {
				return fmt.Errorf("the broker's settings are needed for the check: %w", err)
			}
			s, err := full.Read(file, set)
			if err != nil {
				return err
			}
			if s.GRPC != nil {
				fmt.Fprintf(cmd.OutOrStdout(), "grpc: on, listening on %v, %d routes\n", s.GRPC.Listen, s.GRPC.ProxySettings.Routes.Len())
			} else {
				fmt.Fprintln(cmd.OutOrStdout(), "grpc: off")
			}
			if s.SheddingWeights != nil {
				fmt.Fprintln(cmd.OutOrStdout(), "order: refused first, where not all can be taken")
				for i, line := range s.SheddingWeights.Describe(full.Names(set)) {
					fmt.Fprintf(cmd.OutOrStdout(), "  %d. %s\n", i+1, line)
				}
			}
			if s.Ledger != nil {
				fmt.Fprintf(cmd.OutOrStdout(), "ledger: on, in %s\n", s.Ledger.Directory)
			}
			return nil
		}})
	return root
}
