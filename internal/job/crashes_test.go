package job

import (
	"testing"

	"github.com/matryer/is"
)

// TestProgressWithForeignCrashesDoesNotMatch guards against a coordinator that panics on a record which counts crashes
// of a task that the job doesn't have.
func TestProgressWithForeignCrashesDoesNotMatch(t *testing.T) {
	is := is.New(t)
	spec := &Spec{Steps: []Step{{Count: 2}}}
	for _, crashes := range []TaskCrashes{{Step: 1}, {Index: 2}, {Step: -1}, {Index: -1}} {
		progress := NewProgress(spec)
		progress.SetCrashes(crashes)
		is.True(!progress.Matches(spec))
	}
}

func TestCrashesSurviveTheEncoding(t *testing.T) {
	is := is.New(t)
	progress := NewProgress(&Spec{Steps: []Step{{Count: 2}}})
	crashes := TaskCrashes{Index: 1, LastRun: 3, Total: 2, Blamed: 1}
	progress.SetCrashes(crashes)
	data, err := EncodeProgress(progress)
	is.NoErr(err)
	decoded, err := DecodeProgress(data)
	is.NoErr(err)
	is.Equal(decoded.CrashesOf(0, 1), crashes)
	is.Equal(decoded.CrashesOf(0, 0).Total, uint16(0))
}
