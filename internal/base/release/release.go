// Package release names the commit from which the running program was built.
//
// # Usage
//
//	logger.Info("node started", zap.String("build", release.Commit()))
package release

import "runtime/debug"

// commitDigits is the length of an abbreviated commit.
const commitDigits = 7

// Commit returns the abbreviated commit, with a plus sign if the sources had changes that were not
// committed. It is empty if the program was built outside of a checkout.
func Commit() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	return commitOf(info.Settings)
}

func commitOf(settings []debug.BuildSetting) string {
	commit, changed := "", ""
	for _, s := range settings {
		switch {
		case s.Key == "vcs.revision":
			commit = s.Value[:min(len(s.Value), commitDigits)]
		case s.Key == "vcs.modified" && s.Value == "true":
			changed = "+"
		}
	}
	if commit == "" {
		return ""
	}
	return commit + changed
}
