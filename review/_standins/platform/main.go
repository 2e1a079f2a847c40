package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// longest is how long a case may take.
const longest = 110 * time.Second

// testCase is one case of the review.
type testCase struct {
	// run returns whether the rule was broken, or an error if the case could not run.
	run func(s *site, trouble bool) (bool, error)
	// machines and replicas, those of each zone, are the size of the deployment.
	machines, replicas int
}

var cases = map[string]testCase{
	"crowd":        {crowd, 3, 1},
	"endless-head": {endlessHead, 6, 2},
	"late-order":   {lateOrder, 6, 2},
}

func main() { os.Exit(run()) }

// run runs the case named by the first argument, for the repository and the folder of the
// case in the other two.
func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]].run == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE REPOSITORY FOLDER")
		return failed
	}
	chosen := cases[os.Args[1]]
	r, err := newRecord(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	s, err := newSite(r, os.Args[2], chosen.machines, chosen.replicas, "portal")
	if err != nil {
		r.verdict("could not run: %v", err)
		return failed
	}
	defer s.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-signals:
		case <-time.After(longest):
			r.verdict("could not run: it took over %v", longest)
		}
		s.close()
		os.Exit(failed)
	}()
	if err := s.start(); err != nil {
		r.verdict("could not run: %v", err)
		return failed
	}
	wasBroken, err := chosen.run(s, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.verdict("could not run: %v", err)
		return failed
	case wasBroken:
		r.verdict("the rule was broken")
		return broken
	default:
		r.verdict("the rule held")
		return held
	}
}
