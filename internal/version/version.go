// Package version tells which build a program is.
package version

import (
	"fmt"
	"runtime"
	"runtime/debug"
)

// String returns the module version, the commit and the Go version on one line.
func String() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown " + runtime.Version()
	}
	return fmt.Sprintf("%s commit %s %s", info.Main.Version, commit(info.Settings), info.GoVersion)
}

func commit(settings []debug.BuildSetting) string {
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
