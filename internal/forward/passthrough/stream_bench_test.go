package passthrough_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
)

// BenchmarkStreams measures the cost of a stream of a few events with the body of its request. One operation is one
// stream.
func BenchmarkStreams(b *testing.B) {
	for _, size := range []int{2 << 10, 28 << 10, 110 << 10} {
		b.Run(fmt.Sprintf("body of %d KiB", size>>10), func(b *testing.B) {
			route := stream
			route.Timeout = 1 << 40
			withGateway(b, route, slices.Repeat([]*backend{newBackend(b, streamHead+events+lastEvents+streamEnd, 0)}, b.N), func(g *gateway) {
				content := bytes.Repeat([]byte("p"), size)
				client := &http.Client{Transport: &http.Transport{}}
				defer client.CloseIdleConnections()
				b.ReportAllocs()
				b.ResetTimer()
				for range b.N {
					request, err := http.NewRequest("POST", "http://"+g.address+"/x/y", bytes.NewReader(content))
					g.Assert(err, qt.IsNil)
					request.Host = "a.example"
					request.Header.Set("X-Id", "id-1")
					response, err := client.Do(request)
					g.Assert(err, qt.IsNil)
					_, err = io.Copy(io.Discard, response.Body)
					g.Assert(err, qt.IsNil)
					g.Assert(response.StatusCode, qt.Equals, http.StatusOK)
					g.Assert(response.Body.Close(), qt.IsNil)
				}
			})
		})
	}
}
