// Package process proves the invariants of docs/design.md section 1.2 on real processes that are
// killed, frozen and cut off.
package process

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// binaries is the directory of the programs under test.
var binaries string

// clusters bounds the clusters that run at once: each has 12 processes, and 60 are the limit.
var clusters = make(chan struct{}, 5)

// TestMain builds the programs once.
func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(run(m))
}

func run(m *testing.M) int {
	directory, err := os.MkdirTemp("", "clementine-process-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(directory)
	binaries = directory
	for _, name := range []string{"clementined", "clementine-standin"} {
		build := exec.Command("go", "build", "-o", filepath.Join(directory, name), "clementineflow/cmd/"+name)
		if output, err := build.CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "build %s: %v\n%s", name, err, output)
			return 1
		}
	}
	return m.Run()
}
