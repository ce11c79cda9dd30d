// Command standins-2 plays the cases of a review: it starts the project's programs as separate processes with stand-ins
// for the store, the workers and the clients, and checks one rule.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseFunc plays a case and returns what broke the rule, or an error if it could not run.
type caseFunc func(record *record, trouble bool) (broken []string, err error)

var cases = map[string]caseFunc{
	"late-leave":      lateLeave,
	"stop-fence":      stopFence,
	"open-cancel":     openCancel,
	"crash-loop":      crashLoop,
	"failing-workers": failingWorkers,
	"paused-work":     pausedWork,
	"hand-over":       handOver,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "worker" {
		runWorker(os.Args[2:])
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins-2 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(run caseFunc, folder string) int {
	trouble := os.Getenv("TROUBLE") != "0"
	record, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	record.add("case", "disruption: %v", trouble)
	broken, err := runBounded(run, record, trouble)
	switch {
	case err != nil:
		record.add("case", "could not run: %s", err)
		fmt.Println("could not run:", err)
		return exitNotRun
	case len(broken) > 0:
		for _, line := range broken {
			record.add("case", "BROKEN: %s", line)
			fmt.Println("broken:", line)
		}
		return exitBroken
	default:
		record.add("case", "held")
		fmt.Println("held")
		return exitHeld
	}
}

// maxCaseTime is the longest time of a case.
const maxCaseTime = 112 * time.Second

// runBounded plays a case. If it takes too long or the process is told to end, all processes of the case are ended.
func runBounded(run caseFunc, record *record, trouble bool) ([]string, error) {
	type result struct {
		broken []string
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := run(record, trouble)
		done <- result{broken, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case got := <-done:
		return got.broken, got.err
	case <-signals:
		closeAll()
		return nil, errors.New("told to end")
	case <-time.After(maxCaseTime):
		closeAll()
		return nil, errors.New("the case takes too long")
	}
}
