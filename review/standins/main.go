// Command standins runs the cases of the independent review: it starts the product's processes on loopback addresses,
// with stand-ins for the platform's store, the workers and the clients, and checks one rule in each case.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// verdict is the outcome of a case: whether the rule was broken, and why.
type verdict struct {
	broken bool
	reason string
}

var cases = map[string]func(*recorder, bool) (verdict, error){
	"crashes-fail-a-job":    crashesFailAJob,
	"stuck-probe":           stuckProbe,
	"dropped-queue":         droppedQueue,
	"waiting-after-kill":    waitingAfterKill,
	"lost-worker-failover":  lostWorkerAtFailover,
	"lost-worker-new-agent": lostWorkerNewAgent,
	"start-in-an-outage":    startInAnOutage,
}

// caseLimit is how long a case may take.
const caseLimit = 115 * time.Second

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standins CASE RECORD")
		return notRun
	}
	record, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Println("not run:", err)
		return notRun
	}
	go endEarly(record)
	trouble := os.Getenv("TROUBLE") != "0"
	record.event("case %s, with the disruption: %v", os.Args[1], trouble)
	result, err := cases[os.Args[1]](record, trouble)
	record.summary()
	switch {
	case err != nil:
		record.event("not run: %s", err)
		fmt.Println("not run:", err)
		return notRun
	case result.broken:
		record.event("BROKEN: %s", result.reason)
		fmt.Println("BROKEN:", result.reason)
		return ruleBroken
	default:
		record.event("held: %s", result.reason)
		fmt.Println("held:", result.reason)
		return ruleHeld
	}
}

// endEarly ends the case, and all processes that it started, on a signal or once it has taken too long.
func endEarly(record *recorder) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(caseLimit):
	}
	record.event("not run: ended early")
	killAll()
	os.Exit(notRun)
}
