//go:build !planted

package planted

// Active reports whether the failpoint is enabled: never, in this build.
func Active(Defect) bool { return false }
