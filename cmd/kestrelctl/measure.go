package main

import (
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"kestrelspread/internal/harness"
)

// breachesPrinted is how many breaches of the rules the demonstration prints; the rest is counted.
const breachesPrinted = 10

// demoCommand plays a broker in front of stand-in servers.
func demoCommand() *cobra.Command {
	var seconds int
	c := &cobra.Command{Use: "demo", Short: "Play a broker in front of stand-in servers that get into trouble", Args: cobra.NoArgs}
	c.RunE = func(cmd *cobra.Command, _ []string) error {
		breaches, err := harness.Demo(cmd.OutOrStdout(), seconds)
		printBreaches(cmd.OutOrStdout(), breaches)
		if err == nil && len(breaches) > 0 {
			err = fmt.Errorf("%d breaches of the rules", len(breaches))
		}
		return err
	}
	c.Flags().IntVar(&seconds, "seconds", 16, "how long; starting and ending take some more")
	return c
}

// printBreaches prints the first breaches of the rules, and how many more there are.
func printBreaches(out io.Writer, breaches []string) {
	for i, breach := range breaches {
		if i == breachesPrinted {
			fmt.Fprintf(out, "and %d more\n", len(breaches)-i)
			return
		}
		fmt.Fprintln(out, "broken:", breach)
	}
}

// measureCommand repeats the measurements of docs/measure.
func measureCommand() *cobra.Command {
	root := &cobra.Command{Use: "measure", Short: "Take the figures of docs/measure again, on stand-in servers"}
	root.AddCommand(measureGRPC())
	return root
}

func measureGRPC() *cobra.Command {
	var seconds int
	var binaries, parts []string
	c := &cobra.Command{
		Use: "grpc", Args: cobra.NoArgs,
		Short: "gRPC: latency, CPU, open streams, servers in trouble, floods, and what it costs switched off",
		RunE: func(cmd *cobra.Command, _ []string) error {
			return harness.MeasureGRPC(cmd.OutOrStdout(), seconds, binaries, parts)
		},
	}
	c.Flags().IntVar(&seconds, "seconds", 5, "of each part")
	c.Flags().StringSliceVar(&parts, "parts", nil, "unary, streams, trouble, floods, idle; all where none is named")
	c.Flags().StringSliceVar(&binaries, "idle", nil, "broker programs whose memory at rest is compared")
	return c
}

// floodCommand floods a broker. The measurements run it in a process of its own.
func floodCommand() *cobra.Command {
	var address, kind string
	var duration time.Duration
	c := &cobra.Command{Use: "flood", Short: "Be rude to a broker on loopback for a while", Hidden: true, Args: cobra.NoArgs}
	c.RunE = func(cmd *cobra.Command, _ []string) error {
		count, err := harness.Flood(address, kind, duration)
		fmt.Fprintln(cmd.OutOrStdout(), count)
		return err
	}
	c.Flags().StringVar(&address, "at", "", "")
	c.Flags().StringVar(&kind, "kind", "", "")
	c.Flags().DurationVar(&duration, "span", time.Second, "")
	return c
}
