package gateway

// isCutOff reports whether this daemon can't open connections to any backend server, while callers, the platform and
// the other daemons still reach it.
func (d *Daemon) isCutOff() bool { return d.paths.IsCutOff() }

// isUnreachable reports whether this daemon reaches no server of a service, while other daemons do.
func (d *Daemon) isUnreachable(_ string) bool { return d.isCutOff() }
