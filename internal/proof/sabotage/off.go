//go:build !sabotage

package sabotage

// Active reports whether a mechanism is switched off. It is always false in this build.
func Active(Mechanism) bool { return false }
