// Package version reports the build information of the program.
package version

import (
	"fmt"
	"runtime"
	"runtime/debug"
)

// String returns the module version, the commit and the Go version on one line. The commit is "unknown" if
// the build does not record it, and has the suffix "+modified" if the working tree had changes.
func String() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown " + runtime.Version()
	}
	return fmt.Sprintf("%s commit %s %s", info.Main.Version, formatCommit(info.Settings), info.GoVersion)
}

func formatCommit(settings []debug.BuildSetting) string {
	revision, modified := "unknown", ""
	for _, setting := range settings {
		switch {
		case setting.Key == "vcs.revision":
			revision = setting.Value
		case setting.Key == "vcs.modified" && setting.Value == "true":
			modified = "+modified"
		}
	}
	return revision + modified
}
