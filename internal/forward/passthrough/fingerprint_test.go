package passthrough

import (
	"bytes"
	"testing"

	"azurehitch"
	"azurehitch/internal/memory/admission"
	"azurehitch/internal/memory/requestbody"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
)

func TestFingerprint(t *testing.T) {
	base := func() *fasthttp.Request {
		request := &fasthttp.Request{}
		request.Header.SetMethod(fasthttp.MethodPost)
		request.SetRequestURI("http://a.example/x?n=1")
		request.Header.SetHost("a.example")
		request.Header.Set("Attempt-Id", "1")
		request.SetBodyString("body")
		return request
	}
	for _, test := range []struct {
		name   string
		change func(r *fasthttp.Request)
		isSame bool
	}{
		{"another try", func(r *fasthttp.Request) {
			r.Header.Set("Attempt-Id", "2")
			r.Header.Set("Deadline-Ms", "7")
			r.Header.SetUserAgent("u")
		}, true},
		{"another method", func(r *fasthttp.Request) { r.Header.SetMethod(fasthttp.MethodPut) }, false},
		{"another host", func(r *fasthttp.Request) { r.Header.SetHost("b.example") }, false},
		{"another path", func(r *fasthttp.Request) { r.SetRequestURI("http://a.example/y?n=1") }, false},
		{"another query", func(r *fasthttp.Request) { r.SetRequestURI("http://a.example/x?n=2") }, false},
		{"another caller", func(r *fasthttp.Request) { r.Header.Set(fasthttp.HeaderAuthorization, "Bearer 2") }, false},
		{"another body", func(r *fasthttp.Request) { r.SetBodyString("bodz") }, false},
		{"no body", func(r *fasthttp.Request) { r.SetBodyString("") }, false},
		{"bytes of one field in the next", func(r *fasthttp.Request) {
			r.SetRequestURI("http://a.example/x?n=1b")
			r.SetBodyString("ody")
		}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			changed := base()
			test.change(changed)
			qt.New(t).Assert(fingerprintOf(t, changed, &request{}) == fingerprintOf(t, base(), &request{}), qt.Equals, test.isSame)
		})
	}
}

// fingerprintOf returns the fingerprint of a request whose header and body, as it is received, are those of message.
func fingerprintOf(t *testing.T, message *fasthttp.Request, r *request) string {
	t.Helper()
	c := qt.New(t)
	budget := admission.New(admission.NewLimits(1<<20), azurehitch.SystemClock{})
	limits := requestbody.Limits{Length: len(message.Body()), Max: 1 << 10}
	body, err := requestbody.Read(t.Context(), bytes.NewReader(message.Body()), limits, budget.NewRequest("", nil))
	c.Assert(err, qt.IsNil)
	defer body.Release()
	r.http = &fasthttp.RequestCtx{}
	message.CopyTo(&r.http.Request)
	return fingerprint(&r.http.Request.Header, r.callerIdentity(), body)
}

// TestFingerprintWithAccounts guards against log lines from which a key could be computed, and against a held
// request that escapes with another key of the same account.
func TestFingerprintWithAccounts(t *testing.T) {
	message := func(key string) *fasthttp.Request {
		m := &fasthttp.Request{}
		m.SetRequestURI("http://a.example/x")
		m.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+key)
		return m
	}
	of := func(key, account string) string {
		return fingerprintOf(t, message(key), &request{hasAccounts: true, account: azurehitch.ClientAccount{Name: account}})
	}
	c := qt.New(t)
	c.Assert(of("k1", "a"), qt.Equals, of("k2", "a"))
	c.Assert(of("k1", "a"), qt.Not(qt.Equals), of("k1", "b"))
}
