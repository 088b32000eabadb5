package soak_test

import (
	"fmt"
	"net"
	"os"
	"sync"

	"github.com/pkg/errors"
)

// networkCount is the number of loopback networks 127.N.0.0/16, from N = 1 on, that test processes share.
const networkCount = 200

// networkClaim is a loopback network that no other test process uses, while its listener is open.
type networkClaim struct {
	// number is the N of the network.
	number   int
	listener net.Listener
}

// claimNetwork returns the network of this process, which keeps it until it ends.
var claimNetwork = sync.OnceValues(func() (networkClaim, error) {
	for i := range networkCount {
		number := 1 + (os.Getpid()+i)%networkCount
		listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", number, linkPort))
		if err == nil {
			return networkClaim{number: number, listener: listener}, nil
		}
	}
	return networkClaim{}, errors.New("all loopback networks are in use")
})
