package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestReplay guards against a failed outcome that a script takes for success, a last line without the
// totals, and a faulty trace that is not named.
func TestReplay(t *testing.T) {
	is := is.New(t)
	const good = "../../internal/replay/testdata/traces/mu-island-impossible-jobs.jsonl"
	code, output, _ := execute(t, "127.0.0.1:1", "replay "+good)
	is.Equal(code, exitOK)
	is.True(strings.HasSuffix(output, " passed, 0 failed\n"))

	data, err := os.ReadFile(good)
	is.NoErr(err)
	bad := filepath.Join(t.TempDir(), "bad.jsonl")
	violated := string(data) + `{"expect":{"name":"no work at all","finished":{"at_least":100000}}}` + "\n"
	is.NoErr(os.WriteFile(bad, []byte(violated), 0o600))
	code, output, _ = execute(t, "127.0.0.1:1", "replay --decisions "+good+" "+bad)
	is.Equal(code, exitFailure)
	is.True(strings.Contains(output, "FAILED "))
	is.True(strings.Contains(output, "assign task="))
	is.True(strings.HasSuffix(output, " passed, 1 failed\n"))

	code, output, _ = execute(t, "127.0.0.1:1", "replay -o json "+bad)
	is.Equal(code, exitFailure)
	var all replayedFiles
	is.NoErr(json.Unmarshal([]byte(output), &all))
	is.Equal(all.Failed, 1)
	is.True(len(all.Files[0].Outcomes) == all.Passed+all.Failed)

	is.NoErr(os.WriteFile(bad, []byte("x\n"), 0o600))
	code, _, messages := execute(t, "127.0.0.1:1", "replay "+bad)
	is.Equal(code, exitUsage)
	is.True(strings.Contains(messages, "trace line 1"))
}
