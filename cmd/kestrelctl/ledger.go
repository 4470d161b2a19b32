package main

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/spf13/cobra"

	"kestrelspread/internal/ledger"
	"kestrelspread/internal/ledger/store"
)

// ledgerCommand reads and corrects a ledger in its directory, or a copy of it while its broker
// runs: a directory in use is refused.
func ledgerCommand() *cobra.Command {
	root := &cobra.Command{Use: "ledger", Short: "Look into a ledger of use, whose broker does not run, or into a copy"}
	flags := &ledgerFlags{}
	root.PersistentFlags().StringVar(&flags.directory, "folder", "", "the ledger's folder")
	root.PersistentFlags().BoolVar(&flags.asJSON, "json", false, "one JSON object a line")
	root.MarkPersistentFlagRequired("folder")
	root.AddCommand(ledgerTotals(flags), ledgerShow(flags), ledgerVerify(flags), ledgerCorrect(flags), ledgerClose(flags))
	return root
}

// ledgerFlags are the flags that all sub-commands of ledger share.
type ledgerFlags struct {
	directory string
	asJSON    bool
}

// withStore returns a command's function that opens the ledger, calls do, and closes the ledger.
func (f *ledgerFlags) withStore(do func(out io.Writer, s *store.Store) error) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, _ []string) error {
		if err := f.checkExists(); err != nil {
			return err
		}
		s, err := store.Open(vfs.Default, f.directory, "", time.Now())
		if err != nil {
			return err
		}
		defer s.Close()
		return do(cmd.OutOrStdout(), s)
	}
}

// checkExists fails where there is no ledger: opening would create one.
func (f *ledgerFlags) checkExists() error {
	if _, err := vfs.Default.Stat(vfs.Default.PathJoin(f.directory, "MANIFEST-000001")); err == nil {
		return nil
	}
	if files, _ := vfs.Default.List(f.directory); len(files) == 0 {
		return fmt.Errorf("there is no ledger in %s", f.directory)
	}
	return nil
}

// ledgerTotals prints the totals by period and key, with what corrections add to them.
func ledgerTotals(flags *ledgerFlags) *cobra.Command {
	c := &cobra.Command{Use: "totals", Short: "By period, customer, query type, front and outcome", Args: cobra.NoArgs}
	c.RunE = flags.withStore(func(out io.Writer, s *store.Store) error {
		if flags.asJSON {
			writeTotalsJSON(out, s.Ledger)
			return nil
		}
		return writeTotalsTable(out, s.Ledger)
	})
	return c
}

// writeTotalsJSON writes one JSON object a line for each period and key.
func writeTotalsJSON(out io.Writer, totals *ledger.Ledger) {
	encoder := json.NewEncoder(out)
	for _, period := range totals.Periods() {
		for _, key := range period.Keys() {
			used, corrected := period.Counts(key)
			encoder.Encode(map[string]any{"period": period.Start, "state": period.State.String(), "customer": key.Customer,
				"query_type": key.QueryType, "front": key.Front.String(), "outcome": key.Outcome.String(), "used": used,
				"corrected": corrected})
		}
	}
}

// writeTotalsTable writes one line of a table for each period and key.
func writeTotalsTable(out io.Writer, totals *ledger.Ledger) error {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprint(table, "period\tstate\tcustomer\tquery type\tfront\toutcome")
	for _, field := range ledger.FieldNames {
		fmt.Fprint(table, "\t", field)
	}
	fmt.Fprintln(table, "\tcorrected searches")
	for _, period := range totals.Periods() {
		start := formatMillis(period.Start)
		for _, key := range period.Keys() {
			used, corrected := period.Counts(key)
			fmt.Fprintf(table, "%s\t%v\t%s\t%s\t%v\t%v", start, period.State, key.Customer, key.QueryType, key.Front, key.Outcome)
			for _, count := range used {
				fmt.Fprint(table, "\t", count)
			}
			fmt.Fprintln(table, "\t", corrected[ledger.Searches])
		}
	}
	return table.Flush()
}

// formatMillis formats a time in milliseconds since 1970.
func formatMillis(millis int64) string {
	return time.UnixMilli(millis).UTC().Format(time.RFC3339)
}

// ledgerShow prints all entries.
func ledgerShow(flags *ledgerFlags) *cobra.Command {
	c := &cobra.Command{Use: "show", Short: "The entries, one a line", Args: cobra.NoArgs}
	c.RunE = flags.withStore(func(out io.Writer, s *store.Store) error {
		return s.EachEntry(1, func(entry *ledger.Entry) error { return json.NewEncoder(out).Encode(entry) })
	})
	return c
}

// ledgerVerify proves that the stored entries and totals agree.
func ledgerVerify(flags *ledgerFlags) *cobra.Command {
	c := &cobra.Command{Use: "verify", Short: "Prove checksums, sequence, seals and totals", Args: cobra.NoArgs}
	c.RunE = flags.withStore(func(out io.Writer, s *store.Store) error {
		if err := s.Verify(); err != nil {
			return err
		}
		fmt.Fprintf(out, "sound: %q, epoch %d, %d entries, %d periods\n", s.Instance, s.Epoch, s.Ledger.NextSequence-1,
			len(s.Ledger.Periods()))
		return nil
	})
	return c
}
