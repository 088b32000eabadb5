package backend_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestFieldNameThatIsNone guards against answers in whose head the name of a field is none.
func TestFieldNameThatIsNone(t *testing.T) {
	for name, line := range map[string]string{
		"a blank inside": "X-A b: 1\r\nContent-Length: 2", "a blank before the colon": "X-Ab : 1\r\nContent-Length: 2",
		"a folded line": "X-A: 1\r\n b: 1\r\nContent-Length: 2", "the length": "Content-Length : 1",
		"a control byte": "X-A\x01: 1\r\nContent-Length: 2",
	} {
		for way, atMostOnce := range map[string]bool{"pinned": true, "pooled": false} {
			t.Run(name+", "+way, func(t *testing.T) {
				exchange, err := send(startCuttingServer(t, "HTTP/1.1 200 OK\r\n"+line+"\r\n\r\nok"), nil, atMostOnce)
				if err == nil {
					exchange.Close()
				}
				qt.Assert(t, err, qt.IsNotNil)
			})
		}
	}
}
