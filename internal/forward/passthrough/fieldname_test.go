package passthrough_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// oddNames are answers in whose head the name of a field is none.
var oddNames = []struct{ name, answer string }{
	{"a blank inside", answerWithLine("X-A b: 1")},
	{"a blank before the colon", answerWithLine("X-Ab : 1")},
	{"a blank first, as in a folded line", answerWithLine(" X-Ab: 1")},
	{"a tab first, as in a folded line", answerWithLine("\tX-Ab: 1")},
	{"a tab before the colon", answerWithLine("X-Ab\t: 1")},
	{"a control byte", answerWithLine("X-A\x01b: 1")},
	{"the delete byte", answerWithLine("X-A\x7fb: 1")},
	{"a high byte", answerWithLine("X-A\xffb: 1")},
	{"no name", answerWithLine(": 1")},
	{"only a blank", answerWithLine(" : 1")},
	{"no colon", answerWithLine("X-Ab")},
	{"the length, and no other length", unsizedHead[:len(unsizedHead)-2] + "Content-Length : 1\r\n\r\nok"},
	{"the length, beside another", answerWithLine("Content-Length : 1")},
	{"the encoding", unsizedHead[:len(unsizedHead)-2] + "Transfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
	{"the connection", answerWithLine("Connection : close")},
	{"the signature", strings.Replace(whole, "X-Signature: ", "X-Signature : ", 1)},
	{"in an interim head", "HTTP/1.1 103 Hints\r\nX-A b: 1\r\n\r\n" + whole},
	{"after an interim head", "HTTP/1.1 103 Hints\r\nX-Ab: 1\r\n\r\n" + answerWithLine("X-A b: 1")},
}

// answerWithLine returns a whole answer with one more line in its head.
func answerWithLine(line string) string {
	return strings.Replace(whole, "Content-Length", line+"\r\nContent-Length", 1)
}

// TestFieldNameThatIsNone guards against answers in whose head the name of a field is none: callers got them with
// that line, or with a body that was not the server's.
func TestFieldNameThatIsNone(t *testing.T) {
	for _, test := range oddNames {
		t.Run(test.name+", may run once", func(t *testing.T) {
			second := newBackend(t, whole, 0)
			withGateway(t, nonIdempotent, []*backend{newBackend(t, test.answer, 0), second}, func(g *gateway) {
				got := g.send("POST", "/x/y", "")
				g.Assert(got.status, qt.Equals, 502)
				g.Assert(got.header.Get("X-Signature"), qt.Equals, "")
				g.Assert(second.requests(), qt.HasLen, 0)
			})
		})
		t.Run(test.name+", may be repeated", func(t *testing.T) {
			second := newBackend(t, whole, 0)
			withGateway(t, idempotent, []*backend{newBackend(t, test.answer, 0), second}, func(g *gateway) {
				got := g.send("POST", "/x/y", "")
				g.Assert(got.status, qt.Equals, 200)
				g.Assert(got.body, qt.Equals, "ok")
				g.Assert(second.requests(), qt.HasLen, 1)
			})
		})
	}
	t.Run("stream", func(t *testing.T) {
		odd := strings.Replace(streamHead, "Content-Type", "X-A b: 1\r\nContent-Type", 1) + events + lastEvents + streamEnd
		servers := []*backend{newBackend(t, odd, 0), newBackend(t, streamHead+events+lastEvents+streamEnd, 0)}
		withGateway(t, resumable, servers, func(g *gateway) {
			got := g.send("POST", "/x/y", "")
			g.Assert(got.status, qt.Equals, 200)
			g.Assert(got.cut, qt.IsFalse)
			g.Assert(servers[1].requests(), qt.HasLen, 1)
		})
	})
	t.Run("counts against the server", func(t *testing.T) {
		withGateway(t, nonIdempotent, []*backend{newBackend(t, answerWithLine("X-A b: 1"), 0)}, func(g *gateway) {
			g.Assert(g.send("POST", "/x/y", "").status, qt.Equals, 502)
			g.assertEvidence(0, "s0")
		})
	})
}

// TestOddFieldsOfSoundAnswers checks heads and trailers that may look broken, and of which callers get what the server
// gave.
func TestOddFieldsOfSoundAnswers(t *testing.T) {
	for name, answer := range map[string]string{
		"an empty value":               answerWithLine("X-Ab:"),
		"no blank after the colon":     answerWithLine("X-Ab:1"),
		"blanks in a value":            answerWithLine("X-Ab: a b\tc: d "),
		"all bytes of a token":         answerWithLine("!#$%&'*+-.^_`|~09: 1"),
		"a high byte in a value":       answerWithLine("X-Ab: \xff"),
		"two signatures":               answerWithLine("X-Signature: s"),
		"a control byte in the reason": strings.Replace(whole, "OK", "O\x01K", 1),
		"another length beside chunks": strings.Replace(wholeInChunks, "Transfer", "Content-Length: 1\r\nTransfer", 1),
		"odd lines after the chunks":   strings.Replace(wholeInChunks, "0\r\n\r\n", "0\r\nX y z\r\n\x01\r\n\r\n", 1),
	} {
		t.Run(name, func(t *testing.T) {
			withGateway(t, nonIdempotent, []*backend{newBackend(t, answer, 0)}, func(g *gateway) {
				got := g.send("POST", "/x/y", "")
				g.Assert(got.status, qt.Equals, 200)
				g.Assert(got.cut, qt.IsFalse)
				g.Assert(got.body, qt.Equals, "ok")
				g.Assert(got.header.Get("X-Signature"), qt.Equals, "s")
			})
		})
	}
}
