package processes_test

import (
	"bytes"
	"encoding/json"
	"strings"
)

const (
	// anyPort is a listen address on a port that the system chooses.
	anyPort = "127.0.0.1:0"
	// standinListen is the name of a stand-in's only listen address.
	standinListen = "Listen"
)

// addressReader reads the output of a process up to the line with its listen addresses, and discards the
// rest.
type addressReader struct {
	unread []byte
	isDone bool
	// addresses receives the listen addresses by name.
	addresses chan map[string]string
}

func newAddressReader() *addressReader {
	return &addressReader{addresses: make(chan map[string]string, 1)}
}

// Write implements io.Writer.
func (r *addressReader) Write(output []byte) (int, error) {
	if r.isDone {
		return len(output), nil
	}
	r.unread = append(r.unread, output...)
	for !r.isDone {
		line, rest, isWhole := bytes.Cut(r.unread, []byte("\n"))
		if !isWhole {
			break
		}
		r.unread = rest
		if addresses := listenAddresses(line); addresses != nil {
			r.addresses <- addresses
			r.isDone, r.unread = true, nil
		}
	}
	return len(output), nil
}

// listenAddresses returns the listen addresses in a line of a stand-in or a daemon, or nil.
func listenAddresses(line []byte) map[string]string {
	if address, ok := strings.CutPrefix(string(line), standinListen+"="); ok {
		return map[string]string{standinListen: address}
	}
	var logged struct{ Message, Callers, Peers, Admin string }
	if err := json.Unmarshal(line, &logged); err != nil || logged.Message != "daemon started" {
		return nil
	}
	return map[string]string{"Callers": logged.Callers, "Peers": logged.Peers, "Admin": logged.Admin}
}
