package connpool

import "time"

// silenceTime is how long a server may send nothing on a reused connection before its path is suspected.
const silenceTime = 300 * time.Millisecond

// pathSuspecter is implemented by a Dialer that checks the path to a server whose connection is silent.
type pathSuspecter interface{ Suspect(address string) }

// watchSilence reports a server to the Dialer if it sends nothing for silenceTime before stop is called. A new
// connection needs no watch: its dial has just shown that the server is reached.
func (p *Pool) watchSilence(address string) (stop func()) {
	suspecter, ok := p.dialer.(pathSuspecter)
	if !ok {
		return func() {}
	}
	timer := time.AfterFunc(silenceTime, func() { suspecter.Suspect(address) })
	return func() { timer.Stop() }
}
