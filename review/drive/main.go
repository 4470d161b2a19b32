// Command drive plays the cases of the review that are scripts: it starts the nodes of a small deployment as processes on loopback
// addresses, with stand-ins for brokers, clients, the operator and the platform, and checks one rule. It exits with 1 if the rule was
// broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"
)

// Results of a case.
const (
	held   = 0
	broken = 1
	unrun  = 2
)

// scene is what a case is given.
type scene struct {
	record  *record
	program string
	trouble bool
}

var cases = map[string]func(*scene) int{
	"deregistered":   deregistered,
	"gone":           gone,
	"uploads":        uploads,
	"uploads-length": uploadsWithLength,
}

// limit ends a case that takes too long.
const limit = 110 * time.Second

func main() {
	runtime.LockOSThread() // the nodes end with the thread that started them
	name := flag.String("case", "", "name of the case")
	program := flag.String("node", "target/kestrelnode", "program of a node")
	path := flag.String("record", "record.txt", "file for the record")
	trouble := flag.Bool("trouble", true, "with the disruption")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Println("no such case:", *name)
		os.Exit(unrun)
	}
	rec, err := newRecord(*path)
	if err != nil {
		fmt.Println(err)
		os.Exit(unrun)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-stop:
		case <-time.After(limit):
		}
		rec.say("stopped before its end")
		rec.close()
		os.Exit(unrun)
	}()
	result := play(&scene{record: rec, program: *program, trouble: *trouble})
	rec.say("result: %d", result)
	rec.close()
	os.Exit(result)
}

// cannotRun says why a case could not run.
func (s *scene) cannotRun(err error) int {
	s.record.say("can't run: %v", err)
	return unrun
}
