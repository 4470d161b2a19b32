package main

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/spf13/cobra"

	"kestrelspread/internal/aggregator/extensions"
	"kestrelspread/internal/ledger"
	"kestrelspread/internal/ledger/store"
	"kestrelspread/internal/operator"
)

// useLedger looks into a ledger's folder, or a copy of it while its broker runs: a folder in use is refused.
func useLedger() *cobra.Command {
	root := &cobra.Command{Use: "ledger", Short: "Look into a ledger of use, whose broker does not run, or into a copy"}
	var folder string
	var asJSON bool
	root.PersistentFlags().StringVar(&folder, "folder", "", "the ledger's folder")
	root.PersistentFlags().BoolVar(&asJSON, "json", false, "one JSON object a line")
	root.MarkPersistentFlagRequired("folder")
	with := func(do func(out io.Writer, s *store.Store) error) func(*cobra.Command, []string) error {
		return func(cmd *cobra.Command, _ []string) error {
			if _, err := vfs.Default.Stat(vfs.Default.PathJoin(folder, "MANIFEST-000001")); err != nil {
				if list, _ := vfs.Default.List(folder); len(list) == 0 { // opening would make one
					return fmt.Errorf("there is no ledger in %s", folder)
				}
			}
			s, err := store.Open(vfs.Default, folder, "", time.Now())
			if err != nil {
				return err
			}
			defer s.Close()
			return do(cmd.OutOrStdout(), s)
		}
	}
	totals := &cobra.Command{Use: "totals", Short: "By period, customer, query type, front and outcome", Args: cobra.NoArgs,
		RunE: with(func(out io.Writer, s *store.Store) error {
			w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
			if !asJSON {
				fmt.Fprint(w, "period\tstate\tcustomer\tquery type\tfront\toutcome")
				for _, f := range ledger.FieldNames {
					fmt.Fprint(w, "\t", f)
				}
				fmt.Fprintln(w, "\tcorrected searches")
			}
			for _, p := range s.Ledger.Periods() {
				for _, k := range p.Keys() {
					used, corrected := p.Counts(k)
					if asJSON {
						json.NewEncoder(out).Encode(map[string]any{"period": p.Start, "state": p.State.String(), "customer": k.Customer,
							"query_type": k.QueryType, "front": k.Front.String(), "outcome": k.Outcome.String(), "used": used, "corrected": corrected})
						continue
					}
					fmt.Fprintf(w, "%s\t%v\t%s\t%s\t%v\t%v", time.UnixMilli(p.Start).UTC().Format(time.RFC3339), p.State, k.Customer, k.QueryType, k.Front, k.Outcome)
					for _, n := range used {
						fmt.Fprint(w, "\t", n)
					}
					fmt.Fprintln(w, "\t", corrected[ledger.Searches])
				}
			}
			return w.Flush()
		})}
	show := &cobra.Command{Use: "show", Short: "The entries, one a line", Args: cobra.NoArgs,
		RunE: with(func(out io.Writer, s *store.Store) error {
			return s.EachEntry(1, func(e *ledger.Entry) error { return json.NewEncoder(out).Encode(e) })
		})}
	verify := &cobra.Command{Use: "verify", Short: "Prove checksums, sequence, seals and totals", Args: cobra.NoArgs,
		RunE: with(func(out io.Writer, s *store.Store) error {
			if err := s.Verify(); err != nil {
				return err
			}
			fmt.Fprintf(out, "sound: %q, epoch %d, %d entries, %d periods\n", s.Instance, s.Epoch, s.Ledger.NextSequence-1, len(s.Ledger.Periods()))
			return nil
		})}
	root.AddCommand(totals, show, verify, correct(with), closePeriods(with))
	return root
}

type opener func(do func(out io.Writer, s *store.Store) error) func(*cobra.Command, []string) error

// calendarFlags are those of the operator's file, for what is written while no broker runs.
func calendarFlags(c *cobra.Command) func() (*ledger.Calendar, error) {
	var o operator.Ledger
	var every string
	c.Flags().StringVar(&every, "every", "", "hours, day or month, as the operator's file has it")
	c.Flags().IntVar(&o.Hours, "hours", 1, "of a period where --every is hours")
	c.Flags().StringVar(&o.Zone, "zone", "", "the time zone, as the operator's file has it")
	c.Flags().Float64Var(&o.GraceMs, "grace-ms", 60000, "as the operator's file has it")
	c.MarkFlagRequired("every")
	c.MarkFlagRequired("zone")
	return func() (*ledger.Calendar, error) {
		kinds := map[string]ledger.PeriodUnit{"hours": ledger.Hourly, "day": ledger.Daily, "month": ledger.Monthly}
		kind, known := kinds[every]
		if !known {
			return nil, fmt.Errorf("--every is hours, day or month, not %q", every)
		}
		o.PeriodUnit = kind
		return extensions.Calendar(&o)
	}
}

// correct posts a correction. The period is named by any moment in it.
func correct(with opener) *cobra.Command {
	var a ledger.CorrectionRequest
	var period, outcome, front string
	amounts := map[string]int64{}
	c := &cobra.Command{Use: "correct", Short: "Post a correction; the same one given twice counts once", Args: cobra.NoArgs}
	calendar := calendarFlags(c)
	f := c.Flags()
	f.StringVar(&a.CorrectionID, "key", "", "the correction's own key")
	f.StringVar(&a.Author, "author", "", "who answers for it")
	f.StringVar(&a.Reason, "reason", "", "why")
	f.StringVar(&a.Reference, "reference", "", "the bill or ticket it is about")
	f.StringVar(&a.Reverts, "of", "", "the key of a correction that this one takes back, in place of all below")
	f.StringVar(&period, "period", "", "a moment in the period, as in 2026-03-01T00:00:00Z")
	f.StringVar(&a.Key.Customer, "customer", "", "")
	f.StringVar(&a.Key.QueryType, "query-type", "", "")
	f.StringVar(&front, "front", "http", "http or grpc")
	f.StringVar(&outcome, "outcome", "answered", "answered, partial, shed, errored or left")
	f.BoolVar(&a.AllowNegative, "below-zero", false, "allow a total below 0")
	f.StringToInt64Var(&amounts, "add", nil, "what is added, below 0 taken away, as in searches=-3,parts=-6")
	c.RunE = with(func(out io.Writer, s *store.Store) error {
		cal, err := calendar()
		if err != nil {
			return err
		}
		now := max(time.Now().UnixMilli(), s.HighestTime)
		if a.Reverts == "" {
			at, err := time.Parse(time.RFC3339, period)
			if err != nil {
				return fmt.Errorf("--period: %w", err)
			}
			a.Period = cal.PeriodStart(at.UnixMilli())
			if a.Key.Front, a.Key.Outcome, err = keyOf(front, outcome); err != nil {
				return err
			}
			for name, n := range amounts {
				i := slices.Index(ledger.FieldNames[:], name)
				if i < 0 {
					return fmt.Errorf("--add: nothing is called %q", name)
				}
				a.Counts[i] = n
			}
		}
		e, known, err := s.Ledger.CorrectionEntry(a, cal.PeriodStart(now), now)
		if err != nil {
			return err
		}
		if !known {
			if err := s.Commit([]*ledger.Entry{e}, now); err != nil {
				return err
			}
		}
		fmt.Fprintf(out, "entry %d, posted to %s, known before: %v\n", e.Sequence, time.UnixMilli(e.Period).UTC().Format(time.RFC3339), known)
		return nil
	})
	return c
}

func keyOf(front, outcome string) (f ledger.Front, o ledger.Outcome, err error) {
	for f = 0; f < ledger.FrontCount && f.String() != front; f++ {
	}
	for o = 0; o < ledger.OutcomeCount && o.String() != outcome; o++ {
	}
	if f == ledger.FrontCount || o == ledger.OutcomeCount {
		return 0, 0, fmt.Errorf("no front %q or no outcome %q", front, outcome)
	}
	return f, o, nil
}

// closePeriods closes what is due: a broker that does not run any more does not.
func closePeriods(with opener) *cobra.Command {
	c := &cobra.Command{Use: "close", Short: "Close the periods whose end and grace have passed", Args: cobra.NoArgs}
	calendar := calendarFlags(c)
	c.RunE = with(func(out io.Writer, s *store.Store) error {
		cal, err := calendar()
		if err != nil {
			return err
		}
		now := max(time.Now().UnixMilli(), s.HighestTime)
		due := s.Ledger.CloseEntries(cal, now)
		if len(due) > 0 {
			if err := s.Commit(due, now); err != nil {
				return err
			}
		}
		fmt.Fprintf(out, "%d periods closed\n", len(due))
		return nil
	})
	return c
}
