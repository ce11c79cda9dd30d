// Command standins-3 plays the cases of the third review: it starts the project's programs as processes and plays the
// platform, its workers and its clients around them.
package main

import (
	"flag"
	"fmt"
	"os"
)

// verdict is the outcome of a case.
type verdict struct {
	broken bool
	text   string
}

// cases holds the cases by name. Each plays its case, with its disruption if trouble is set.
var cases = map[string]struct {
	shape shape
	play  func(d *deployment, trouble bool) (verdict, error)
}{
	"crashes": {shape{entries: 4, agents: 11, capacity: capacity{CPU: 16000, Memory: 64000}, guards: true}, playCrashes},
	"images":  {shape{entries: 4, agents: 11, capacity: capacity{CPU: 16000, Memory: 64000}, guards: true}, playImages},
	"reload":  {shape{entries: 4, agents: 11, weak: 2, capacity: capacity{CPU: 16000, Memory: 64000}, guards: true}, playReload},
	"waiting": {shape{entries: 4, agents: 11, capacity: capacity{CPU: 16000, Memory: 64000}, guards: true}, playWaiting},
}

// exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

func main() {
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	os.Exit(play(flag.Arg(0), *record))
}

func play(name, record string) int {
	chosen, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return notRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	d, err := newDeployment(chosen.shape)
	var v verdict
	if err == nil {
		v, err = chosen.play(d, trouble)
	}
	if d == nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	d.stop()
	code := held
	switch {
	case err != nil:
		v.text, code = "the case could not run: "+err.Error(), notRun
	case v.broken:
		v.text, code = "the rule was broken: "+v.text, broken
	default:
		v.text = "the rule held: " + v.text
	}
	d.journal.add("%s (trouble: %t)", v.text, trouble)
	fmt.Println(v.text)
	if err := d.journal.write(record); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	return code
}
