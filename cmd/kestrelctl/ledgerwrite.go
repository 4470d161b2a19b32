package main

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"kestrelspread/internal/aggregator/extensions"
	"kestrelspread/internal/ledger"
	"kestrelspread/internal/ledger/store"
	"kestrelspread/internal/operator"
)

// calendarFlags adds the calendar's flags to a command that writes while no broker runs; they are
// those of the operator's file. The function returned gives the calendar after parsing.
func calendarFlags(c *cobra.Command) func() (*ledger.Calendar, error) {
	var settings operator.Ledger
	var unitName string
	c.Flags().StringVar(&unitName, "every", "", "hours, day or month, as the operator's file has it")
	c.Flags().IntVar(&settings.Hours, "hours", 1, "of a period where --every is hours")
	c.Flags().StringVar(&settings.Zone, "zone", "", "the time zone, as the operator's file has it")
	c.Flags().Float64Var(&settings.GraceMs, "grace-ms", 60000, "as the operator's file has it")
	c.MarkFlagRequired("every")
	c.MarkFlagRequired("zone")
	return func() (*ledger.Calendar, error) {
		units := map[string]ledger.PeriodUnit{"hours": ledger.Hourly, "day": ledger.Daily, "month": ledger.Monthly}
		unit, known := units[unitName]
		if !known {
			return nil, fmt.Errorf("--every is hours, day or month, not %q", unitName)
		}
		settings.PeriodUnit = unit
		return extensions.Calendar(&settings)
	}
}

// correctionFlags are the flags of ledger correct.
type correctionFlags struct {
	// request has what the flags set directly.
	request ledger.CorrectionRequest
	// periodMoment is any moment in the period, in RFC 3339.
	periodMoment string
	outcome      string
	front        string
	// amounts are added, by the field's name.
	amounts map[string]int64
}

// ledgerCorrect posts a correction.
func ledgerCorrect(flags *ledgerFlags) *cobra.Command {
	correction := &correctionFlags{}
	c := &cobra.Command{Use: "correct", Short: "Post a correction; the same one given twice counts once", Args: cobra.NoArgs}
	calendarOf := calendarFlags(c)
	correction.register(c)
	c.RunE = flags.withStore(func(out io.Writer, s *store.Store) error {
		calendar, err := calendarOf()
		if err != nil {
			return err
		}
		nowMs := currentMillis(s)
		request, err := correction.build(calendar)
		if err != nil {
			return err
		}
		entry, known, err := s.Ledger.CorrectionEntry(request, calendar.PeriodStart(nowMs), nowMs)
		if err != nil {
			return err
		}
		if !known {
			if err := s.Commit([]*ledger.Entry{entry}, nowMs); err != nil {
				return err
			}
		}
		fmt.Fprintf(out, "entry %d, posted to %s, known before: %v\n", entry.Sequence, formatMillis(entry.Period), known)
		return nil
	})
	return c
}

func (f *correctionFlags) register(c *cobra.Command) {
	flags := c.Flags()
	flags.StringVar(&f.request.CorrectionID, "key", "", "the correction's own key")
	flags.StringVar(&f.request.Author, "author", "", "who answers for it")
	flags.StringVar(&f.request.Reason, "reason", "", "why")
	flags.StringVar(&f.request.Reference, "reference", "", "the bill or ticket it is about")
	flags.StringVar(&f.request.Reverts, "of", "", "the key of a correction that this one takes back, in place of all below")
	flags.StringVar(&f.periodMoment, "period", "", "a moment in the period, as in 2026-03-01T00:00:00Z")
	flags.StringVar(&f.request.Key.Customer, "customer", "", "")
	flags.StringVar(&f.request.Key.QueryType, "query-type", "", "")
	flags.StringVar(&f.front, "front", "http", "http or grpc")
	flags.StringVar(&f.outcome, "outcome", "answered", "answered, partial, shed, errored or left")
	flags.BoolVar(&f.request.AllowNegative, "below-zero", false, "allow a total below 0")
	flags.StringToInt64Var(&f.amounts, "add", nil, "what is added, below 0 taken away, as in searches=-3,parts=-6")
}

// build returns the request that the flags describe. One that reverts another correction takes its
// period, key and amounts from that one.
func (f *correctionFlags) build(calendar *ledger.Calendar) (request ledger.CorrectionRequest, err error) {
	request = f.request
	if request.Reverts != "" {
		return request, nil
	}
	moment, err := time.Parse(time.RFC3339, f.periodMoment)
	if err != nil {
		return request, fmt.Errorf("--period: %w", err)
	}
	request.Period = calendar.PeriodStart(moment.UnixMilli())
	if request.Key.Front, request.Key.Outcome, err = parseFrontAndOutcome(f.front, f.outcome); err != nil {
		return request, err
	}
	for name, amount := range f.amounts {
		field := slices.Index(ledger.FieldNames[:], name)
		if field < 0 {
			return request, fmt.Errorf("--add: nothing is called %q", name)
		}
		request.Counts[field] = amount
	}
	return request, nil
}

// parseFrontAndOutcome finds a front and an outcome by their names.
func parseFrontAndOutcome(frontName, outcomeName string) (front ledger.Front, outcome ledger.Outcome, err error) {
	for front < ledger.FrontCount && front.String() != frontName {
		front++
	}
	for outcome < ledger.OutcomeCount && outcome.String() != outcomeName {
		outcome++
	}
	if front == ledger.FrontCount || outcome == ledger.OutcomeCount {
		return 0, 0, fmt.Errorf("no front %q or no outcome %q", frontName, outcomeName)
	}
	return front, outcome, nil
}

// ledgerClose closes the periods that are due, in place of a broker that no longer runs.
func ledgerClose(flags *ledgerFlags) *cobra.Command {
	c := &cobra.Command{Use: "close", Short: "Close the periods whose end and grace have passed", Args: cobra.NoArgs}
	calendarOf := calendarFlags(c)
	c.RunE = flags.withStore(func(out io.Writer, s *store.Store) error {
		calendar, err := calendarOf()
		if err != nil {
			return err
		}
		nowMs := currentMillis(s)
		due := s.Ledger.CloseEntries(calendar, nowMs)
		if len(due) > 0 {
			if err := s.Commit(due, nowMs); err != nil {
				return err
			}
		}
		fmt.Fprintf(out, "%d periods closed\n", len(due))
		return nil
	})
	return c
}

// currentMillis is the present time in milliseconds, and never before a time in the ledger: a clock
// that was set back must not reopen what was closed.
func currentMillis(s *store.Store) int64 {
	return max(time.Now().UnixMilli(), s.HighestTime)
}
