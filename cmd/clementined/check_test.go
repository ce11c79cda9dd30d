package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// TestCheckExitCodes guards against a check that accepts an invalid file or exits with a code other than 2.
func TestCheckExitCodes(t *testing.T) {
	is := is.New(t)
	var output bytes.Buffer
	is.NoErr((&checkCommand{Settings: "../../examples/bc-coast/entry.yaml"}).Run(&output))
	path := filepath.Join(t.TempDir(), "bad.yaml")
	is.NoErr(os.WriteFile(path, []byte("role: entry\nfoo: 1\n"), 0o600))
	err := (&checkCommand{Settings: path}).Run(&output)
	var coded interface{ ExitCode() int }
	is.True(errors.As(err, &coded))
	is.Equal(coded.ExitCode(), 2)
}
