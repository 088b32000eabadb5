//go:build sabotage

package sabotage

import "os"

// Active reports whether a mechanism is switched off by AZUREHITCH_SABOTAGE.
func Active(m Mechanism) bool { return os.Getenv("AZUREHITCH_SABOTAGE") == string(m) }
